#pragma once

#include "base/clock.h"

namespace sassafras {

/** The operating system's monotonic clock. */
class SystemClock final : public Clock {
 public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
  Duration TimeSuspended() const override;
};

}  // namespace sassafras
