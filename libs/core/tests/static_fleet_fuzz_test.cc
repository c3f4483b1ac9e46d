#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <memory>

#include "base/hash.h"
#include "static_fleet_simulation.h"

namespace sassafras {
namespace {

/** State on which the preconditions of commands depend. */
struct Model {
  size_t calls = 0;
};

using Millis = StaticFleetSimulation::Millis;
using Command = rc::state::Command<Model, StaticFleetSimulation>;

/** A command that acts on an instance, endpoint or call selected by `pick`, then advances the clock by `delay`. */
struct Step : Command {
  size_t pick = *rc::gen::inRange<size_t>(0, 1'000);
  Millis delay{*rc::gen::inRange(0, 400)};

  virtual void Act(StaticFleetSimulation& simulation) const = 0;
  void run(const Model& /*model*/, StaticFleetSimulation& simulation) const override {
    Act(simulation);
    simulation.Advance(delay);
    RC_ASSERT(simulation.FirstViolation() == std::string());
  }
  void show(std::ostream& out) const override { out << typeid(*this).name() << " " << pick << " +" << delay.count(); }
  size_t Instance() const { return pick % StaticFleetSimulation::kInstances; }
  size_t Endpoint() const { return pick % StaticFleetSimulation::kEndpoints; }
};

struct SendCall : Step {
  bool repeat_safe = *rc::gen::arbitrary<bool>();
  void apply(Model& model) const override { ++model.calls; }
  void Act(StaticFleetSimulation& simulation) const override {
    size_t instance = Instance();
    for (size_t i = 0; i < StaticFleetSimulation::kInstances && !simulation.IsUp(instance); ++i)
      instance = (instance + 1) % StaticFleetSimulation::kInstances;
    if (!simulation.IsUp(instance))
      simulation.Restart(instance);
    for (int burst = 0; burst < 3; ++burst)
      simulation.SendCall(instance, repeat_safe);
  }
};

struct ResendCall : Step {
  void checkPreconditions(const Model& model) const override { RC_PRE(model.calls > 0); }
  void Act(StaticFleetSimulation& simulation) const override {
    simulation.Resend(pick % simulation.CallCount(), Instance());
  }
};

struct DisconnectCaller : Step {
  void checkPreconditions(const Model& model) const override { RC_PRE(model.calls > 0); }
  void Act(StaticFleetSimulation& simulation) const override {
    simulation.DisconnectCaller(simulation.CallCount() - 1);
  }
};

struct PauseInstance : Step {
  void Act(StaticFleetSimulation& simulation) const override {
    if (simulation.IsUp(Instance()))
      simulation.Pause(Instance());
  }
};

struct ResumeInstance : Step {
  void Act(StaticFleetSimulation& simulation) const override {
    if (simulation.IsUp(Instance()) && simulation.IsPaused(Instance()))
      simulation.Resume(Instance());
  }
};

struct KillInstance : Step {
  void Act(StaticFleetSimulation& simulation) const override {
    if (simulation.IsUp(Instance()))
      simulation.Kill(Instance());
  }
};

struct RestartInstance : Step {
  void Act(StaticFleetSimulation& simulation) const override { simulation.Restart(Instance()); }
};

struct StopInstance : Step {
  void Act(StaticFleetSimulation& simulation) const override {
    if (simulation.IsUp(Instance()))
      simulation.StopGracefully(Instance());
  }
};

struct SetPlatformAvailability : Step {
  void Act(StaticFleetSimulation& simulation) const override { simulation.SetPlatformAvailable(pick % 2 == 0); }
};

struct RollBackStore : Step {
  void Act(StaticFleetSimulation& simulation) const override { simulation.RollBackStore(); }
};

struct IsolateInstance : Step {
  bool isolated = *rc::gen::arbitrary<bool>();
  void Act(StaticFleetSimulation& simulation) const override { simulation.SetIsolated(Instance(), isolated); }
};

struct PublishLists : Step {
  void Act(StaticFleetSimulation& simulation) const override { simulation.PublishLists(); }
};

struct DrainEndpoint : Step {
  void Act(StaticFleetSimulation& simulation) const override { simulation.Drain(Endpoint()); }
};

struct RestartEndpoint : Step {
  void Act(StaticFleetSimulation& simulation) const override { simulation.RestartEndpoint(Endpoint()); }
};

struct LoseAnswers : Step {
  bool loses_answers = *rc::gen::arbitrary<bool>();
  void Act(StaticFleetSimulation& simulation) const override { simulation.SetLosesAnswers(Endpoint(), loses_answers); }
};

struct DropGossip : Step {
  void Act(StaticFleetSimulation& simulation) const override {
    simulation.SetGossipDropRate(pick % 2 == 0 ? 0.5 : 0.0);
  }
};

struct LongDelay : Step {
  void Act(StaticFleetSimulation& simulation) const override { simulation.Advance(Millis(static_cast<int>(pick) * 8)); }
};

TEST_CASE("fleet of reducers keeps its promises under failures") {
  uint64_t digest = 0;
  const bool passed = rc::check("no guarantee is violated", [&digest] {
    const auto seed = *rc::gen::inRange<uint64_t>(1, 1'000'000);
    auto simulation = std::make_unique<StaticFleetSimulation>(seed);
    rc::state::check(
        Model(), *simulation,
        rc::state::gen::execOneOfWithArgs<SendCall, SendCall, SendCall, ResendCall, ResendCall, DisconnectCaller,
                                          PauseInstance, ResumeInstance, KillInstance, RestartInstance, StopInstance,
                                          SetPlatformAvailability, RollBackStore, IsolateInstance, PublishLists,
                                          DrainEndpoint, RestartEndpoint, LoseAnswers, DropGossip, LongDelay>());
    simulation->RecoverAndCheck();
    digest = HashCombine(digest, simulation->EffectsHash());
    RC_ASSERT(simulation->FirstViolation() == std::string());
  });
  // The test "core_repeats" compares the digests of two processes.
  MESSAGE("effects digest of the static fleet: " << digest);
  CHECK(passed);
}

}  // namespace
}  // namespace sassafras
