#pragma once

#include <chrono>

namespace sassafras {

/** Monotonic time; comparable only within one process. */
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/**
 * Source of monotonic time. Components of an entry instance read the time through this interface, so that tests can
 * pause and advance it. Timers and the log do not use it.
 */
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
  /** Time for which the machine has been suspended since its start; Now() stood still then. */
  virtual Duration TimeSuspended() const { return {}; }
};

}  // namespace sassafras
