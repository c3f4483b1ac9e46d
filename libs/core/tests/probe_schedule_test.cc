#include "probe_schedule.h"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <random>

namespace sassafras {
namespace {

using std::chrono::milliseconds;

constexpr double kProbesPerSecond = 2.0;
constexpr milliseconds kTimeStep{10};
constexpr EndpointHandle kEndpoint{0};

TEST_CASE("probes stay within the budget when the holder of a seat changes often") {
  std::mt19937_64 random(1);
  std::array<ProbeSchedule, 4> holders;
  const Duration interval = ProbeSchedule::ProbeInterval(kProbesPerSecond);
  TimePoint now(std::chrono::hours(1));
  int probes = 0;
  for (int term = 0; term < 16; ++term) {
    ProbeSchedule& holder = holders[static_cast<size_t>(term) % holders.size()];
    const TimePoint until = now + milliseconds(600);
    holder.Grant(0, until, now);
    for (; now < until; now += kTimeStep)
      probes += holder.TakeIfDue(kEndpoint, 0, interval, now, random) ? 1 : 0;
    holder.Release(0);
  }
  CHECK(probes <= kProbesPerSecond * 10.0);
}

TEST_CASE("a steady holder probes within the budget and does not catch up after a pause") {
  std::mt19937_64 random(1);
  ProbeSchedule holder;
  const Duration interval = ProbeSchedule::ProbeInterval(kProbesPerSecond);
  TimePoint now(std::chrono::hours(1));
  holder.Grant(3, now + std::chrono::hours(1), now);
  int probes = 0;
  const TimePoint end = now + std::chrono::seconds(10);
  for (; now < end; now += kTimeStep)
    probes += holder.TakeIfDue(kEndpoint, 3, interval, now, random) ? 1 : 0;
  CHECK(probes >= 10);
  CHECK(probes <= kProbesPerSecond * 10.0);
  now += std::chrono::seconds(30);
  CHECK(holder.TakeIfDue(kEndpoint, 3, interval, now, random));
  CHECK_FALSE(holder.TakeIfDue(kEndpoint, 3, interval, now + kTimeStep, random));
}

TEST_CASE("an expired seat does not allow probes, and neither does a budget that is too small") {
  ProbeSchedule holder;
  const TimePoint now(std::chrono::hours(1));
  CHECK_FALSE(holder.Holds(0, now));
  holder.Grant(0, now + milliseconds(5), now);
  CHECK(holder.Holds(0, now));
  CHECK_FALSE(holder.Holds(0, now + milliseconds(5)));
  CHECK(ProbeSchedule::ProbeInterval(0.0) == Duration::max());
  CHECK(ProbeSchedule::ProbeInterval(0.2) == Duration::max());
}

}  // namespace
}  // namespace sassafras
