#pragma once

#include <cstddef>

#include "base/clock.h"

namespace sassafras {

/** Clock that only moves when a test advances it. */
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override {
    if (m_reads_until_pause > 0 && --m_reads_until_pause == 0)
      m_now += m_pause;
    return m_now;
  }
  Duration TimeSuspended() const override { return m_suspended; }
  void Advance(Duration time) { m_now += time; }
  /** Suspends the machine for `time`, in which Now() stands still. */
  void Suspend(Duration time) { m_suspended += time; }
  /** Lets the `read`-th reading from now on find `pause` gone by, as if the process had been paused before it. */
  void PauseBefore(size_t read, Duration pause) {
    m_reads_until_pause = read;
    m_pause = pause;
  }
  /** Whether the pause that was set has not come yet. */
  bool IsPausePending() const { return m_reads_until_pause > 0; }
  /** The time, for a test: not counted as a reading. */
  TimePoint Peek() const { return m_now; }

 private:
  mutable TimePoint m_now{std::chrono::hours(1)};
  mutable size_t m_reads_until_pause = 0;
  Duration m_pause{};
  Duration m_suspended{};
};

}  // namespace sassafras
