#include <doctest/doctest.h>

#include "world.h"

namespace sassafras {
namespace {

using Millis = World::Millis;

void CheckHeld(World& world) {
  world.Settle();
  CHECK(world.Violation() == std::string());
}

TEST_CASE("a call is answered once") {
  World world(1);
  const size_t safe = world.Call(0, true);
  const size_t never = world.Call(1, false);
  world.Advance(Millis(500));
  CHECK(world.RunCount(safe) >= 1);
  CHECK(world.RunCount(never) == 1);
  CHECK(world.AnsweredCount() == 2);
  CheckHeld(world);
}

TEST_CASE("a repeated key gets the recorded answer and runs no second time") {
  World world(2);
  const size_t call = world.Call(0, false);
  world.Advance(Millis(300));
  world.Resend(call, 0);
  world.Advance(Millis(300));
  CHECK(world.RunCount(call) == 1);
  CHECK(world.AnsweredCount() == 2);
  CheckHeld(world);
}

TEST_CASE("a key whose first run lost its answer is not run again") {
  World world(3);
  for (size_t endpoint = 0; endpoint < World::kEndpoints; ++endpoint)
    world.SetLosingAnswers(endpoint, true);
  const size_t call = world.Call(0, false);
  world.Advance(Millis(300));
  for (size_t endpoint = 0; endpoint < World::kEndpoints; ++endpoint)
    world.SetLosingAnswers(endpoint, false);
  for (size_t instance = 0; instance < World::kInstances; ++instance)
    world.Resend(call, instance);
  world.Advance(Millis(300));
  CHECK(world.RunCount(call) == 1);
  CheckHeld(world);
}

TEST_CASE("a key whose owner died or was replaced is not run elsewhere") {
  World world(4);
  const size_t call = world.Call(0, false);
  world.Advance(Millis(8));
  world.Kill(0);
  world.Resend(call, 1);
  world.Restart(0);
  world.Advance(Millis(2'000));
  world.Resend(call, 0);
  world.Resend(call, 2);
  world.Advance(Millis(2'000));
  CHECK(world.RunCount(call) <= 1);
  CheckHeld(world);
}

TEST_CASE("a key whose owner is paused waits for it and is not run elsewhere") {
  World world(5);
  const size_t call = world.Call(0, false);
  world.Freeze(0);
  world.Resend(call, 1);
  world.Advance(Millis(4'000));
  world.Thaw(0);
  world.Advance(Millis(3'000));
  CHECK(world.RunCount(call) <= 1);
  CheckHeld(world);
}

TEST_CASE("lists reach every instance, and a paused one that wakes") {
  World world(6);
  world.Freeze(3);
  world.ApplyLists();
  world.ApplyLists();
  world.Advance(Millis(3'000));
  for (size_t instance = 0; instance < 3; ++instance)
    CHECK(world.StateOf(instance).Generation() == 3);
  world.Thaw(3);
  world.Advance(Millis(1'000));
  CHECK(world.StateOf(3).Generation() == 3);
  CheckHeld(world);
}

TEST_CASE("an instance that starts while the platform is down learns the lists from its peers") {
  World world(7);
  world.ApplyLists();
  world.Advance(Millis(3'000));
  world.SetPlatform(false);
  world.Restart(2);
  world.Advance(Millis(2'000));
  CHECK(world.StateOf(2).CurrentPhase() == Phase::kServing);
  CHECK(world.StateOf(2).Generation() == 2);
  CheckHeld(world);
}

TEST_CASE("a store that comes back older is given the generation in force") {
  World world(8);
  world.ApplyLists();
  world.Advance(Millis(3'000));
  world.RollBackStore();
  world.Advance(Millis(8'000));
  for (size_t instance = 0; instance < World::kInstances; ++instance)
    CHECK(world.StateOf(instance).Generation() == 2);
  CheckHeld(world);
}

TEST_CASE("a leaving endpoint gets no work from any instance, one that was paused included") {
  World world(9);
  world.Freeze(3);
  world.Drain(0);
  for (int i = 0; i < 20; ++i)
    world.Call(static_cast<size_t>(i % 3), true);
  world.Advance(Millis(4'000));
  world.Thaw(3);
  for (int i = 0; i < 30; ++i) {
    world.Call(3, true);
    world.Advance(Millis(20));
  }
  CHECK(world.StateOf(3).IsLeaving(EndpointHandle(0)));
  CHECK(world.RequestsWhileLeaving(0, 3) == 0);
  CheckHeld(world);
}

bool KnowsLeaving(const State& state, const std::string& name) {
  for (uint32_t i = 0; i < state.EndpointCount(); ++i) {
    if (state.EndpointRow(EndpointHandle(i)).name == name)
      return state.IsLeaving(EndpointHandle(i));
  }
  return false;
}

/** One endpoint leaves, then another one comes and goes many times, so that there is much to tell. */
void LeaveAmongMuchNews(World& world) {
  world.Drain(0);
  for (int i = 0; i < 20; ++i)
    world.Call(0, true);
  world.Advance(Millis(500));
  for (int round = 0; round < 40; ++round) {
    world.Drain(1);
    world.Advance(Millis(1'000));
    world.RestartEndpoint(1);
    world.Advance(Millis(1'000));
  }
}

TEST_CASE("an instance that starts learns at once which endpoints leave, however much else there is to tell") {
  for (uint64_t seed = 20; seed < 30; ++seed) {
    World world(seed);
    LeaveAmongMuchNews(world);
    world.Restart(3);
    world.Advance(Millis(700));
    CHECK(KnowsLeaving(world.StateOf(3), "e0"));
    CheckHeld(world);
  }
}

TEST_CASE("a returning endpoint is used again") {
  World world(10);
  world.Drain(0);
  for (int i = 0; i < 20; ++i)
    world.Call(0, true);
  world.Advance(Millis(3'000));
  CHECK(world.StateOf(0).IsLeaving(EndpointHandle(0)));
  world.RestartEndpoint(0);
  world.Advance(Millis(15'000));
  for (size_t instance = 0; instance < World::kInstances; ++instance)
    CHECK_FALSE(world.StateOf(instance).IsLeaving(EndpointHandle(0)));
  CheckHeld(world);
}

TEST_CASE("a poison request costs a bounded number of endpoints over the fleet") {
  World world(11);
  const size_t poison = world.Call(0, true, true);
  for (size_t i = 0; i < 24; ++i) {
    world.Advance(Millis(700));
    world.Resend(poison, i % World::kInstances);
    world.Call(i % World::kInstances, true);
  }
  CHECK(world.EndpointsCrashed() <= 4);
  for (size_t instance = 0; instance < World::kInstances; ++instance)
    CHECK(world.StateOf(instance).QuarantineCount() == 1);
  CheckHeld(world);
}

TEST_CASE("a request that is also answered is not quarantined when many endpoints fail at once") {
  World world(14);
  const size_t popular = world.Call(0, true);
  world.Advance(Millis(500));
  for (int round = 0; round < 10; ++round) {
    for (size_t endpoint = 0; endpoint < World::kEndpoints; ++endpoint)
      world.SetLosingAnswers(endpoint, round % 2 == 0);
    for (size_t instance = 0; instance < World::kInstances; ++instance)
      world.Resend(popular, instance);
    world.Advance(Millis(700));
  }
  for (size_t instance = 0; instance < World::kInstances; ++instance)
    CHECK(world.StateOf(instance).QuarantineCount() == 0);
  CheckHeld(world);
}

TEST_CASE("probes are sent and stay within the budget") {
  World world(12);
  for (int round = 0; round < 6; ++round) {
    world.Freeze(static_cast<size_t>(round) % World::kInstances);
    world.Advance(Millis(9'000));
    world.Thaw(static_cast<size_t>(round) % World::kInstances);
    world.Restart((static_cast<size_t>(round) + 1) % World::kInstances);
    world.Advance(Millis(9'000));
  }
  for (size_t endpoint = 0; endpoint < World::kEndpoints; ++endpoint)
    CHECK(world.ProbesOf(endpoint) > 20);
  CheckHeld(world);
}

TEST_CASE("replacing every instance under load cuts nothing") {
  World world(13);
  for (size_t instance = 0; instance < World::kInstances; ++instance) {
    world.StopGracefully(instance);
    for (int i = 0; i < 50; ++i) {
      world.Call((instance + 1 + static_cast<size_t>(i) % 3) % World::kInstances, i % 2 == 0);
      world.Advance(Millis(100));
    }
    CHECK_FALSE(world.IsUp(instance));
    world.Restart(instance);
    world.Advance(Millis(1'000));
  }
  CHECK(world.AnsweredCount() == world.CallCount());
  CheckHeld(world);
}

}  // namespace
}  // namespace sassafras
