#include "probe_schedule.h"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <random>

namespace sassafras {
namespace {

using std::chrono::milliseconds;

constexpr double kBudget = 2.0;
constexpr milliseconds kStep{10};
constexpr EndpointHandle kEndpoint{0};

TEST_CASE("a seat that goes quickly from holder to holder stays within the budget") {
  std::mt19937_64 random(1);
  std::array<ProbeSchedule, 4> holders;
  const Duration interval = ProbeSchedule::ProbeInterval(kBudget);
  TimePoint now(std::chrono::hours(1));
  int probes = 0;
  for (int term = 0; term < 16; ++term) {
    ProbeSchedule& holder = holders[static_cast<size_t>(term) % holders.size()];
    const TimePoint until = now + milliseconds(600);
    holder.Grant(0, until, now);
    for (; now < until; now += kStep)
      probes += holder.TakeIfDue(kEndpoint, 0, interval, now, random) ? 1 : 0;
    holder.Release(0);
  }
  CHECK(probes <= kBudget * 10.0);
}

TEST_CASE("a steady holder probes, stays within the budget, and makes up for no pause") {
  std::mt19937_64 random(1);
  ProbeSchedule holder;
  const Duration interval = ProbeSchedule::ProbeInterval(kBudget);
  TimePoint now(std::chrono::hours(1));
  holder.Grant(3, now + std::chrono::hours(1), now);
  int probes = 0;
  const TimePoint end = now + std::chrono::seconds(10);
  for (; now < end; now += kStep)
    probes += holder.TakeIfDue(kEndpoint, 3, interval, now, random) ? 1 : 0;
  CHECK(probes >= 10);
  CHECK(probes <= kBudget * 10.0);
  now += std::chrono::seconds(30);
  CHECK(holder.TakeIfDue(kEndpoint, 3, interval, now, random));
  CHECK_FALSE(holder.TakeIfDue(kEndpoint, 3, interval, now + kStep, random));
}

TEST_CASE("a lapsed seat gives no right, and a budget that is too small gives none") {
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
