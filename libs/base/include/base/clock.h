#pragma once

#include <chrono>

namespace sassafras {

/** Monotonic time; comparable only within one process. */
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/**
 * Source of monotonic time. All code outside the reducer reads the time through this interface, so that tests can
 * pause and advance it.
 */
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
};

}  // namespace sassafras
