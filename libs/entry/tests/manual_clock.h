#pragma once

#include "base/clock.h"

namespace sassafras {

/** Clock that only moves when a test advances it. */
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return m_now; }
  void Advance(Duration time) { m_now += time; }

 private:
  TimePoint m_now{std::chrono::hours(1)};
};

}  // namespace sassafras
