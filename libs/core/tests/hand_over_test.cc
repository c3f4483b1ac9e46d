#include <doctest/doctest.h>

#include <cstddef>
#include <string>

#include "static_fleet_simulation.h"

namespace sassafras {
namespace {

using Millis = StaticFleetSimulation::Millis;

/** How the owner of a key stops being the one that acts. */
enum class HandOver { kKilled, kPaused, kStopped, kIsolated };

constexpr size_t kOwner = 0;
constexpr uint64_t kSeed = 11;

void Begin(StaticFleetSimulation& simulation, HandOver kind) {
  if (kind == HandOver::kKilled)
    simulation.Kill(kOwner);
  if (kind == HandOver::kPaused)
    simulation.Pause(kOwner);
  if (kind == HandOver::kStopped)
    simulation.StopGracefully(kOwner);
  if (kind == HandOver::kIsolated)
    simulation.SetIsolated(kOwner, true);
}

void End(StaticFleetSimulation& simulation, HandOver kind) {
  if (kind == HandOver::kKilled || kind == HandOver::kStopped)
    simulation.Restart(kOwner);
  if (kind == HandOver::kPaused)
    simulation.Resume(kOwner);
  if (kind == HandOver::kIsolated)
    simulation.SetIsolated(kOwner, false);
}

/** Sends the call again to every instance that is up. */
void ResendToAll(StaticFleetSimulation& simulation, size_t call) {
  for (size_t instance = 0; instance < StaticFleetSimulation::kInstances; ++instance) {
    if (simulation.IsUp(instance))
      simulation.Resend(call, instance);
  }
}

// Guards against the former and the next owner of a key both running its request.
TEST_CASE("a keyed call runs at most once, whenever its owner is killed, paused, stopped or isolated") {
  constexpr Millis kStep{3};
  constexpr Millis kLastStep{150};
  for (const HandOver kind : {HandOver::kKilled, HandOver::kPaused, HandOver::kStopped, HandOver::kIsolated}) {
    for (Millis step{0}; step <= kLastStep; step += kStep) {
      CAPTURE(static_cast<int>(kind));
      CAPTURE(step.count());
      StaticFleetSimulation simulation(kSeed);
      const size_t call = simulation.SendCall(kOwner, false);
      simulation.Advance(step);
      Begin(simulation, kind);
      ResendToAll(simulation, call);
      simulation.Advance(Millis(1'500));
      ResendToAll(simulation, call);
      End(simulation, kind);
      ResendToAll(simulation, call);
      simulation.Advance(step);
      ResendToAll(simulation, call);
      simulation.Advance(Millis(500));
      CHECK(simulation.RunCount(call) <= 1);
      CHECK(simulation.FirstViolation() == std::string());
    }
  }
}

// Guards against two holders of a probe seat that both probe, and against work for an endpoint that began to drain.
TEST_CASE("seats and drains stay with one side, whenever an instance is killed, paused, stopped or isolated") {
  constexpr Millis kStep{450};
  constexpr Millis kLastStep{9'000};
  for (const HandOver kind : {HandOver::kKilled, HandOver::kPaused, HandOver::kStopped, HandOver::kIsolated}) {
    for (Millis step{0}; step <= kLastStep; step += kStep) {
      CAPTURE(static_cast<int>(kind));
      CAPTURE(step.count());
      StaticFleetSimulation simulation(kSeed);
      simulation.Advance(step);
      simulation.Drain(0);
      Begin(simulation, kind);
      simulation.Advance(Millis(12'000));
      End(simulation, kind);
      for (size_t i = 0; i < 20; ++i) {
        simulation.SendCall(i % StaticFleetSimulation::kInstances, i % 2 == 0);
        simulation.Advance(Millis(50));
      }
      simulation.RecoverAndCheck();
      CHECK(simulation.FirstViolation() == std::string());
    }
  }
}

// Guards against an instance that acts on what was true before a pause: leases, lists, marks, deadlines, keys.
TEST_CASE("an instance that was paused for 1 to 20 s acts on nothing that ran out meanwhile") {
  constexpr Millis kStep{70};
  constexpr Millis kLastStep{700};
  for (const Millis pause : {Millis(1'000), Millis(2'000), Millis(5'000), Millis(11'000), Millis(20'000)}) {
    for (Millis step{0}; step <= kLastStep; step += kStep) {
      CAPTURE(pause.count());
      CAPTURE(step.count());
      StaticFleetSimulation simulation(kSeed);
      simulation.Advance(Millis(3'000));
      const size_t running = simulation.SendCall(kOwner, false);
      simulation.Advance(step);
      simulation.Pause(kOwner);
      // Arrives during the pause, so that its time may have run out when it is read.
      const size_t late = simulation.SendCall(kOwner, false);
      simulation.PublishLists();
      simulation.Drain(1);
      simulation.Advance(pause);
      const size_t before = simulation.RequestsWhileLeaving(1, kOwner);
      simulation.Resume(kOwner);
      for (size_t i = 0; i < 10; ++i) {
        simulation.SendCall(kOwner, true);
        simulation.Advance(Millis(20));
      }
      CHECK(simulation.RequestsWhileLeaving(1, kOwner) == before);
      CHECK(simulation.RunCount(running) <= 1);
      CHECK(simulation.RunCount(late) <= 1);
      simulation.RecoverAndCheck();
      CHECK(simulation.FirstViolation() == std::string());
    }
  }
}

}  // namespace
}  // namespace sassafras
