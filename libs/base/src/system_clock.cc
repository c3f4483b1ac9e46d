#include "base/system_clock.h"

#include <chrono>
#include <ctime>

namespace sassafras {
namespace {

Duration ReadClock(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

}  // namespace

Duration SystemClock::TimeSuspended() const {
  // A process that is paused between the readings would otherwise take the pause for a suspension.
  constexpr std::chrono::milliseconds kMaxReadingTime{1};
  constexpr int kMaxReadings = 10;
  Duration suspended{};
  for (int reading = 0; reading < kMaxReadings; ++reading) {
    const Duration before = ReadClock(CLOCK_MONOTONIC);
    const Duration boot = ReadClock(CLOCK_BOOTTIME);
    const Duration after = ReadClock(CLOCK_MONOTONIC);
    suspended = boot - before;
    if (after - before < kMaxReadingTime)
      break;
  }
  return suspended;
}

}  // namespace sassafras
