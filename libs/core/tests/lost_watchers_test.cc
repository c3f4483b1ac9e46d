#include <doctest/doctest.h>

#include <random>
#include <string>

#include "freshness.h"
#include "platform_fleet_simulation.h"

namespace sassafras {
namespace {

using Millis = PlatformFleetSimulation::Millis;
using StoreMode = PlatformFleetSimulation::StoreMode;

/** What happens to every instance that watches the store at that moment. */
struct Fault {
  const char* name;
  void (*strike)(PlatformFleetSimulation& simulation, size_t instance);
};

constexpr Fault kFaults[] = {
    {"store silent to it", [](PlatformFleetSimulation& simulation,
                              size_t instance) { simulation.SetStoreMode(instance, StoreMode::kSilent); }},
    {"refused by the store", [](PlatformFleetSimulation& simulation,
                                size_t instance) { simulation.SetStoreMode(instance, StoreMode::kRefuses); }},
    {"killed", [](PlatformFleetSimulation& simulation, size_t instance) { simulation.Kill(instance); }},
    {"paused", [](PlatformFleetSimulation& simulation, size_t instance) { simulation.Pause(instance); }},
    {"cut off from peers",
     [](PlatformFleetSimulation& simulation, size_t instance) { simulation.SetIsolated(instance, true); }},
};

constexpr size_t kLeavingAddress = 2;

/** Lets time pass while all instances that are up get calls. */
void RunWithCalls(PlatformFleetSimulation& simulation, Millis time) {
  constexpr Millis kBetweenCalls{25};
  for (Millis passed{}; passed < time; passed += kBetweenCalls) {
    for (size_t i = 0; i < PlatformFleetSimulation::kInstances; ++i) {
      if (simulation.IsUp(i) && !simulation.IsPaused(i))
        simulation.SendCall(i, passed.count() % 2 == 0);
    }
    simulation.Advance(kBetweenCalls);
  }
}

/** Strikes all watchers, then lets an endpoint leave and the lists change; the simulation checks the time limits. */
std::string StrikeAndChange(uint64_t seed, const Fault& fault, bool with_keys) {
  std::mt19937_64 random(seed);
  PlatformFleetSimulation simulation(seed, with_keys);
  RunWithCalls(simulation, Millis(1'000 + static_cast<int64_t>(random() % 1'500)));
  // A change ends all watches at once, so that all begin anew just before they are struck.
  if (random() % 2 == 0)
    simulation.MoveRoute();
  RunWithCalls(simulation, Millis(static_cast<int64_t>(random() % 400)));
  for (size_t i = 0; i < PlatformFleetSimulation::kInstances; ++i) {
    if (simulation.IsWatching(i))
      fault.strike(simulation, i);
  }
  RunWithCalls(simulation, Millis(static_cast<int64_t>(random() % 200)));
  simulation.Drain(kLeavingAddress);
  simulation.MoveRoute();
  RunWithCalls(simulation, Millis(4'000));
  return simulation.FirstViolation();
}

}  // namespace

// Guards against a fleet that trusts its watchers for too long when all of them stop learning from the store (DRAIN,
// CONFIG).
TEST_CASE("changes are in force in time on the other instances, whatever happens to all that watch the store") {
  for (const Fault& fault : kFaults) {
    for (uint64_t seed = 1; seed <= 30; ++seed) {
      CAPTURE(fault.name);
      CAPTURE(seed);
      CHECK(StrikeAndChange(seed, fault, seed % 3 == 0) == "");
    }
  }
}

// Guards against a next constant that makes the waits that follow one another longer than the time to apply a change.
TEST_CASE("the waits of the chain from the store to the last instance fit into the time to apply a change") {
  for (const Millis limit : {Millis(1'000), Millis(2'000), Millis(2'500), Millis(3'000)}) {
    const FreshnessLimits limits = FreshnessLimitsFor(limit);
    CHECK(limits.watch_wait + limits.query_period < limits.first_read);
    CHECK(limits.first_read < limits.last_read);
    CHECK(limits.last_read + limit / 10 < limit);
  }
  // No time at all, and no limit, still give waits that the store and the fleet can bear.
  CHECK(FreshnessLimitsFor(Millis(0)).watch_wait >= Millis(200));
  CHECK(FreshnessLimitsFor(Millis(1'000'000)).last_read < Millis(4'000));
}

}  // namespace sassafras
