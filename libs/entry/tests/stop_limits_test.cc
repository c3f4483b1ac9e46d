#include "stop_limits.h"

#include <doctest/doctest.h>

namespace sassafras {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a stopping process accepts calls for less than half of its time, so that long calls can still complete") {
  const milliseconds time(6'000);
  const milliseconds longer(60'000);
  const milliseconds never(0);
  CHECK(MaxServingTimeAfterStop(time, longer) < time / 2);
  CHECK(MaxServingTimeAfterStop(time, longer) > time / 3);
  CHECK(MaxServingTimeAfterStop(longer, time) == MaxServingTimeAfterStop(time, longer));
  CHECK(MaxServingTimeAfterStop(never, time) == MaxServingTimeAfterStop(time, longer));
}

TEST_CASE("a process exits before it is killed, and calls in progress may use almost all of the time until then") {
  const milliseconds long_limit(60'000);
  CHECK(MaxStopDuration(milliseconds(6'000), long_limit) < milliseconds(6'000));
  CHECK(MaxStopDuration(milliseconds(6'000), long_limit) > milliseconds(5'700));
  CHECK(MaxStopDuration(milliseconds(100), long_limit) > milliseconds(0));
  CHECK(MaxStopDuration(milliseconds(6'000), milliseconds(2'000)) == milliseconds(2'000));
  CHECK(MaxStopDuration(milliseconds(0), long_limit) == long_limit);
}

}  // namespace
}  // namespace sassafras
