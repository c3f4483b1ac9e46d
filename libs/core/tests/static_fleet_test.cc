#include <doctest/doctest.h>

#include "static_fleet_simulation.h"

namespace sassafras {
namespace {

using Millis = StaticFleetSimulation::Millis;

void CheckGuarantees(StaticFleetSimulation& simulation) {
  simulation.RecoverAndCheck();
  CHECK(simulation.FirstViolation() == std::string());
}

TEST_CASE("a call is answered once") {
  StaticFleetSimulation simulation(1);
  const size_t repeat_safe = simulation.SendCall(0, true);
  const size_t unrepeatable = simulation.SendCall(1, false);
  simulation.Advance(Millis(500));
  CHECK(simulation.RunCount(repeat_safe) >= 1);
  CHECK(simulation.RunCount(unrepeatable) == 1);
  CHECK(simulation.AnsweredCount() == 2);
  CheckGuarantees(simulation);
}

TEST_CASE("a call repeated under its idempotency key gets the recorded answer and does not run again") {
  StaticFleetSimulation simulation(2);
  const size_t call = simulation.SendCall(0, false);
  simulation.Advance(Millis(300));
  simulation.Resend(call, 0);
  simulation.Advance(Millis(300));
  CHECK(simulation.RunCount(call) == 1);
  CHECK(simulation.AnsweredCount() == 2);
  CheckGuarantees(simulation);
}

TEST_CASE("a keyed call whose answer was lost after it ran is not run again") {
  StaticFleetSimulation simulation(3);
  for (size_t endpoint = 0; endpoint < StaticFleetSimulation::kEndpoints; ++endpoint)
    simulation.SetLosesAnswers(endpoint, true);
  const size_t call = simulation.SendCall(0, false);
  simulation.Advance(Millis(300));
  for (size_t endpoint = 0; endpoint < StaticFleetSimulation::kEndpoints; ++endpoint)
    simulation.SetLosesAnswers(endpoint, false);
  for (size_t instance = 0; instance < StaticFleetSimulation::kInstances; ++instance)
    simulation.Resend(call, instance);
  simulation.Advance(Millis(300));
  CHECK(simulation.RunCount(call) == 1);
  CheckGuarantees(simulation);
}

TEST_CASE("a keyed call whose owner was killed or restarted is not run again") {
  StaticFleetSimulation simulation(4);
  const size_t call = simulation.SendCall(0, false);
  simulation.Advance(Millis(8));
  simulation.Kill(0);
  simulation.Resend(call, 1);
  simulation.Restart(0);
  simulation.Advance(Millis(2'000));
  simulation.Resend(call, 0);
  simulation.Resend(call, 2);
  simulation.Advance(Millis(2'000));
  CHECK(simulation.RunCount(call) <= 1);
  CheckGuarantees(simulation);
}

TEST_CASE("a keyed call whose owner is paused waits for it and is not run elsewhere") {
  StaticFleetSimulation simulation(5);
  const size_t call = simulation.SendCall(0, false);
  simulation.Pause(0);
  simulation.Resend(call, 1);
  simulation.Advance(Millis(4'000));
  simulation.Resume(0);
  simulation.Advance(Millis(3'000));
  CHECK(simulation.RunCount(call) <= 1);
  CheckGuarantees(simulation);
}

TEST_CASE("lists reach every instance, including one that was paused when they changed") {
  StaticFleetSimulation simulation(6);
  simulation.Pause(3);
  simulation.PublishLists();
  simulation.PublishLists();
  simulation.Advance(Millis(3'000));
  for (size_t instance = 0; instance < 3; ++instance)
    CHECK(simulation.StateOf(instance).Generation() == 3);
  simulation.Resume(3);
  simulation.Advance(Millis(1'000));
  CHECK(simulation.StateOf(3).Generation() == 3);
  CheckGuarantees(simulation);
}

TEST_CASE("an instance that starts while the platform is unavailable gets the lists from its peers") {
  StaticFleetSimulation simulation(7);
  simulation.PublishLists();
  simulation.Advance(Millis(3'000));
  simulation.SetPlatformAvailable(false);
  simulation.Restart(2);
  simulation.Advance(Millis(2'000));
  CHECK(simulation.StateOf(2).CurrentPhase() == Phase::kServing);
  CHECK(simulation.StateOf(2).Generation() == 2);
  CheckGuarantees(simulation);
}

TEST_CASE("a store that was rolled back receives the generation in force") {
  StaticFleetSimulation simulation(8);
  simulation.PublishLists();
  simulation.Advance(Millis(3'000));
  simulation.RollBackStore();
  simulation.Advance(Millis(8'000));
  for (size_t instance = 0; instance < StaticFleetSimulation::kInstances; ++instance)
    CHECK(simulation.StateOf(instance).Generation() == 2);
  CheckGuarantees(simulation);
}

TEST_CASE("a leaving endpoint gets no requests from any instance, including one that was paused") {
  StaticFleetSimulation simulation(9);
  simulation.Pause(3);
  simulation.Drain(0);
  for (int i = 0; i < 20; ++i)
    simulation.SendCall(static_cast<size_t>(i % 3), true);
  simulation.Advance(Millis(4'000));
  simulation.Resume(3);
  for (int i = 0; i < 30; ++i) {
    simulation.SendCall(3, true);
    simulation.Advance(Millis(20));
  }
  CHECK(simulation.StateOf(3).IsLeaving(EndpointHandle(0)));
  CHECK(simulation.RequestsWhileLeaving(0, 3) == 0);
  CheckGuarantees(simulation);
}

bool KnowsLeaving(const State& state, const std::string& name) {
  for (uint32_t i = 0; i < state.EndpointCount(); ++i) {
    if (state.EndpointConfig(EndpointHandle(i)).name == name)
      return state.IsLeaving(EndpointHandle(i));
  }
  return false;
}

/** Drains endpoint 0, then drains and restarts endpoint 1 many times, so that there are many changes to gossip. */
void DrainEndpointAmongManyChanges(StaticFleetSimulation& simulation) {
  simulation.Drain(0);
  for (int i = 0; i < 20; ++i)
    simulation.SendCall(0, true);
  simulation.Advance(Millis(500));
  for (int round = 0; round < 40; ++round) {
    simulation.Drain(1);
    simulation.Advance(Millis(1'000));
    simulation.RestartEndpoint(1);
    simulation.Advance(Millis(1'000));
  }
}

TEST_CASE("a newly started instance soon learns which endpoints are leaving, however many other changes are gossiped") {
  for (uint64_t seed = 20; seed < 30; ++seed) {
    StaticFleetSimulation simulation(seed);
    DrainEndpointAmongManyChanges(simulation);
    simulation.Restart(3);
    simulation.Advance(Millis(700));
    CHECK(KnowsLeaving(simulation.StateOf(3), "e0"));
    CheckGuarantees(simulation);
  }
}

TEST_CASE("a drained endpoint that restarts is used again") {
  StaticFleetSimulation simulation(10);
  simulation.Drain(0);
  for (int i = 0; i < 20; ++i)
    simulation.SendCall(0, true);
  simulation.Advance(Millis(3'000));
  CHECK(simulation.StateOf(0).IsLeaving(EndpointHandle(0)));
  simulation.RestartEndpoint(0);
  simulation.Advance(Millis(15'000));
  for (size_t instance = 0; instance < StaticFleetSimulation::kInstances; ++instance)
    CHECK_FALSE(simulation.StateOf(instance).IsLeaving(EndpointHandle(0)));
  CheckGuarantees(simulation);
}

TEST_CASE("a poison request crashes a bounded number of endpoints across the fleet") {
  StaticFleetSimulation simulation(11);
  const size_t poison = simulation.SendCall(0, true, true);
  for (size_t i = 0; i < 24; ++i) {
    simulation.Advance(Millis(700));
    simulation.Resend(poison, i % StaticFleetSimulation::kInstances);
    simulation.SendCall(i % StaticFleetSimulation::kInstances, true);
  }
  CHECK(simulation.EndpointCrashCount() <= 4);
  for (size_t instance = 0; instance < StaticFleetSimulation::kInstances; ++instance)
    CHECK(simulation.StateOf(instance).QuarantineCount() == 1);
  CheckGuarantees(simulation);
}

TEST_CASE("a request that other attempts complete is not quarantined when many endpoints fail at once") {
  StaticFleetSimulation simulation(14);
  const size_t popular = simulation.SendCall(0, true);
  simulation.Advance(Millis(500));
  for (int round = 0; round < 10; ++round) {
    for (size_t endpoint = 0; endpoint < StaticFleetSimulation::kEndpoints; ++endpoint)
      simulation.SetLosesAnswers(endpoint, round % 2 == 0);
    for (size_t instance = 0; instance < StaticFleetSimulation::kInstances; ++instance)
      simulation.Resend(popular, instance);
    simulation.Advance(Millis(700));
  }
  for (size_t instance = 0; instance < StaticFleetSimulation::kInstances; ++instance)
    CHECK(simulation.StateOf(instance).QuarantineCount() == 0);
  CheckGuarantees(simulation);
}

TEST_CASE("probes are sent and stay within the probe budget") {
  StaticFleetSimulation simulation(12);
  for (int round = 0; round < 6; ++round) {
    simulation.Pause(static_cast<size_t>(round) % StaticFleetSimulation::kInstances);
    simulation.Advance(Millis(9'000));
    simulation.Resume(static_cast<size_t>(round) % StaticFleetSimulation::kInstances);
    simulation.Restart((static_cast<size_t>(round) + 1) % StaticFleetSimulation::kInstances);
    simulation.Advance(Millis(9'000));
  }
  for (size_t endpoint = 0; endpoint < StaticFleetSimulation::kEndpoints; ++endpoint)
    CHECK(simulation.ProbeCount(endpoint) > 20);
  CheckGuarantees(simulation);
}

TEST_CASE("replacing every instance in turn under load leaves every call answered") {
  StaticFleetSimulation simulation(13);
  for (size_t instance = 0; instance < StaticFleetSimulation::kInstances; ++instance) {
    simulation.StopGracefully(instance);
    for (int i = 0; i < 50; ++i) {
      simulation.SendCall((instance + 1 + static_cast<size_t>(i) % 3) % StaticFleetSimulation::kInstances, i % 2 == 0);
      simulation.Advance(Millis(100));
    }
    CHECK_FALSE(simulation.IsUp(instance));
    simulation.Restart(instance);
    simulation.Advance(Millis(1'000));
  }
  CHECK(simulation.AnsweredCount() == simulation.CallCount());
  CheckGuarantees(simulation);
}

}  // namespace
}  // namespace sassafras
