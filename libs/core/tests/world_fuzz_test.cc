#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <memory>

#include "world.h"

namespace sassafras {
namespace {

/** What a command needs to know to be valid. */
struct Model {
  size_t calls = 0;
};

using Millis = World::Millis;
using Command = rc::state::Command<Model, World>;

/** A command that acts on one instance, endpoint or call, and then lets some time pass. */
struct Step : Command {
  size_t pick = *rc::gen::inRange<size_t>(0, 1'000);
  Millis pause{*rc::gen::inRange(0, 400)};

  virtual void Act(World& world) const = 0;
  void run(const Model& /*model*/, World& world) const override {
    Act(world);
    world.Advance(pause);
    RC_ASSERT(world.Violation() == std::string());
  }
  void show(std::ostream& out) const override { out << typeid(*this).name() << " " << pick << " +" << pause.count(); }
  size_t Instance() const { return pick % World::kInstances; }
  size_t Endpoint() const { return pick % World::kEndpoints; }
};

struct SendCall : Step {
  bool safe = *rc::gen::arbitrary<bool>();
  void apply(Model& model) const override { ++model.calls; }
  void Act(World& world) const override {
    size_t instance = Instance();
    for (size_t i = 0; i < World::kInstances && !world.IsUp(instance); ++i)
      instance = (instance + 1) % World::kInstances;
    if (!world.IsUp(instance))
      world.Restart(instance);
    for (int burst = 0; burst < 3; ++burst)
      world.Call(instance, safe);
  }
};

struct ResendCall : Step {
  void checkPreconditions(const Model& model) const override { RC_PRE(model.calls > 0); }
  void Act(World& world) const override { world.Resend(pick % world.CallCount(), Instance()); }
};

struct HangUpCall : Step {
  void checkPreconditions(const Model& model) const override { RC_PRE(model.calls > 0); }
  void Act(World& world) const override { world.HangUp(world.CallCount() - 1); }
};

struct FreezeInstance : Step {
  void Act(World& world) const override {
    if (world.IsUp(Instance()))
      world.Freeze(Instance());
  }
};

struct ThawInstance : Step {
  void Act(World& world) const override {
    if (world.IsUp(Instance()) && world.IsFrozen(Instance()))
      world.Thaw(Instance());
  }
};

struct KillInstance : Step {
  void Act(World& world) const override {
    if (world.IsUp(Instance()))
      world.Kill(Instance());
  }
};

struct RestartInstance : Step {
  void Act(World& world) const override { world.Restart(Instance()); }
};

struct StopInstance : Step {
  void Act(World& world) const override {
    if (world.IsUp(Instance()))
      world.StopGracefully(Instance());
  }
};

struct TogglePlatform : Step {
  void Act(World& world) const override { world.SetPlatform(pick % 2 == 0); }
};

struct RollBack : Step {
  void Act(World& world) const override { world.RollBackStore(); }
};

struct CutInstance : Step {
  bool cut = *rc::gen::arbitrary<bool>();
  void Act(World& world) const override { world.SetCut(Instance(), cut); }
};

struct EditLists : Step {
  void Act(World& world) const override { world.ApplyLists(); }
};

struct DrainEndpoint : Step {
  void Act(World& world) const override { world.Drain(Endpoint()); }
};

struct ReplaceEndpoint : Step {
  void Act(World& world) const override { world.RestartEndpoint(Endpoint()); }
};

struct LoseAnswers : Step {
  bool losing = *rc::gen::arbitrary<bool>();
  void Act(World& world) const override { world.SetLosingAnswers(Endpoint(), losing); }
};

struct DropGossip : Step {
  void Act(World& world) const override { world.SetDropRate(pick % 2 == 0 ? 0.5 : 0.0); }
};

struct LongPause : Step {
  void Act(World& world) const override { world.Advance(Millis(static_cast<int>(pick) * 8)); }
};

TEST_CASE("fleet of reducers keeps its promises under failures") {
  const bool held = rc::check("no promise is broken", [] {
    const auto seed = *rc::gen::inRange<uint64_t>(1, 1'000'000);
    auto world = std::make_unique<World>(seed);
    rc::state::check(
        Model(), *world,
        rc::state::gen::execOneOfWithArgs<SendCall, SendCall, SendCall, ResendCall, ResendCall, HangUpCall,
                                          FreezeInstance, ThawInstance, KillInstance, RestartInstance, StopInstance,
                                          TogglePlatform, RollBack, CutInstance, EditLists, DrainEndpoint,
                                          ReplaceEndpoint, LoseAnswers, DropGossip, LongPause>());
    world->Settle();
    RC_ASSERT(world->Violation() == std::string());
  });
  CHECK(held);
}

}  // namespace
}  // namespace sassafras
