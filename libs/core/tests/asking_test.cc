#include <doctest/doctest.h>

#include <string>

#include "core/gossip_message.h"
#include "single_instance.h"

namespace sassafras {
namespace {

using Millis = SingleInstance::Millis;
using Dispatch = Effect::Dispatch;
using Probe = Effect::SendProbe;
using Reject = Effect::Reject;

/** An instance in failure domain "a" with endpoints near and far. */
SingleInstance& WithEndpoints(SingleInstance& instance, int near, int far) {
  std::vector<EndpointChange> changes;
  for (int i = 0; i < near; ++i)
    changes.push_back(SingleInstance::Change("near" + std::to_string(i), 10 + static_cast<uint64_t>(i)));
  for (int i = 0; i < far; ++i)
    changes.push_back(SingleInstance::Change("far" + std::to_string(i), 50 + static_cast<uint64_t>(i), "b"));
  instance.TakeLists(1, SingleInstance::ListsFor("s"));
  instance.TakeEndpoints(changes, true, 100);
  return instance;
}

TEST_CASE("speed that is redrawn within milliseconds: the call goes to an endpoint that is fast now") {
  SingleInstance instance;
  WithEndpoints(instance, 3, 3);
  const auto probes = SingleInstance::Of<Probe>(instance.Call());
  REQUIRE(probes.size() == 3);
  CHECK(SingleInstance::Of<Dispatch>(instance.Answer(probes[0], 0, 5.0F)).empty());
  const auto sent = SingleInstance::Of<Dispatch>(instance.Answer(probes[1], 0, 1.0F));
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].endpoint == probes[1].endpoint);
}

TEST_CASE("near endpoints that are all slow: others are asked, and a fast one is used") {
  SingleInstance instance;
  WithEndpoints(instance, 3, 3);
  const auto probes = SingleInstance::Of<Probe>(instance.Call());
  REQUIRE(probes.size() == 3);
  std::vector<Probe> further;
  for (const Probe& probe : probes) {
    CHECK(instance.NameOf(probe.endpoint).starts_with("near"));
    further = SingleInstance::Of<Probe>(instance.Answer(probe, 0, 5.0F));
  }
  REQUIRE(further.size() == 3);
  CHECK(instance.NameOf(further[0].endpoint).starts_with("far"));
  CHECK(SingleInstance::Of<Dispatch>(instance.Answer(further[0], 0, 1.0F)).size() == 1);
}

TEST_CASE("silent endpoints: the choice is made in time without their answers") {
  SingleInstance instance;
  WithEndpoints(instance, 3, 0);
  const Effects& effects = instance.Call();
  const auto probes = SingleInstance::Of<Probe>(effects);
  const auto armed = SingleInstance::Of<Effect::ArmLoadQueryTimer>(effects);
  REQUIRE(armed.size() == 1);
  instance.Advance(armed[0].at - instance.Now());
  CHECK(SingleInstance::Of<Dispatch>(instance.Post(Event::LoadQueryTimeout{instance.Now(), probes[0].call})).size() ==
        1);
}

TEST_CASE("a small instance with new connections: answers that are slower than usual are waited for") {
  SingleInstance instance;
  WithEndpoints(instance, 3, 0);
  // Endpoints that were in use a moment ago answer within a millisecond.
  const auto probes = SingleInstance::Of<Probe>(instance.Call());
  instance.Advance(Millis(1));
  REQUIRE(SingleInstance::Of<Dispatch>(instance.Answer(probes[0], 0, 1.0F)).size() == 1);
  const auto armed = SingleInstance::Of<Effect::ArmLoadQueryTimer>(instance.Call());
  REQUIRE(armed.size() == 1);
  // A slow endpoint costs 400 ms more than the usual 100 ms: more than an answer that takes 20 ms.
  CHECK(armed[0].at - instance.Now() > Millis(20));
  CHECK(armed[0].at - instance.Now() <= Millis(400) / 8);
}

/** Lets a call ask until it is decided, while every endpoint reports the same. */
Effects AskToTheEnd(SingleInstance& instance, Effects effects, uint32_t in_flight, Duration& waited) {
  const TimePoint start = instance.Now();
  for (int i = 0; i < 100; ++i) {
    const bool decided = !SingleInstance::Of<Dispatch>(effects).empty() || !SingleInstance::Of<Reject>(effects).empty();
    if (decided)
      break;
    const auto probes = SingleInstance::Of<Probe>(effects);
    CallHandle call;
    Effects next;
    for (const Probe& probe : probes) {
      call = probe.call;
      const Effects& more = instance.Answer(probe, in_flight, 1.0F);
      next.insert(next.end(), more.begin(), more.end());
    }
    const auto armed = SingleInstance::Of<Effect::ArmLoadQueryTimer>(next);
    if (SingleInstance::Of<Probe>(next).empty() && !armed.empty()) {
      instance.Advance(armed.back().at - instance.Now());
      const Effects& more = instance.Post(Event::LoadQueryTimeout{instance.Now(), call});
      next.insert(next.end(), more.begin(), more.end());
    }
    effects = next;
  }
  waited = instance.Now() - start;
  return effects;
}

TEST_CASE("a crest that fills every endpoint's queue: the call is held for a moment, then refused with a time") {
  SingleInstance instance;
  WithEndpoints(instance, 6, 0);
  Duration waited{};
  const Effects effects = AskToTheEnd(instance, instance.Call(), 30, waited);
  const auto refused = SingleInstance::Of<Reject>(effects);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].reason == Reason::kOverloaded);
  CHECK(waited <= Millis(400) / 8);
  CHECK(refused[0].retry_after > Millis(0));
  CHECK(refused[0].retry_after <= Millis(2'000) / 3);
}

TEST_CASE("endpoints with few free slots: the call is held for a moment and then sent") {
  SingleInstance instance;
  WithEndpoints(instance, 6, 0);
  Duration waited{};
  const Effects effects = AskToTheEnd(instance, instance.Call(), 5, waited);
  CHECK(SingleInstance::Of<Dispatch>(effects).size() == 1);
  CHECK(waited > Millis(0));
  CHECK(waited <= Millis(400) / 8);
}

TEST_CASE("a crest with few free slots: callers that came back after a refusal have no precedence") {
  for (const Millis limit : {Millis(2'000), Millis(1'300)}) {
    CAPTURE(limit.count());
    SingleInstance instance;
    WithEndpoints(instance, 6, 0);
    // One caller with the whole time left, so that the next one's shorter time shows.
    Duration waited{};
    AskToTheEnd(instance, instance.Call(), 0, waited);
    const Effects effects = AskToTheEnd(instance, instance.Call(limit), 11, waited);
    CHECK(SingleInstance::Of<Dispatch>(effects).empty());
    CHECK(SingleInstance::Of<Reject>(effects).size() == 1);
  }
}

TEST_CASE("a change of the lists while a call asks: nothing goes to a service that the plan no longer uses") {
  SingleInstance instance;
  WithEndpoints(instance, 3, 3);
  const auto probes = SingleInstance::Of<Probe>(instance.Call());
  instance.TakeLists(2, SingleInstance::ListsFor("t"));
  Effects all;
  for (const Probe& probe : probes) {
    const Effects& more = instance.Answer(probe, 0, 5.0F);
    all.insert(all.end(), more.begin(), more.end());
  }
  instance.Advance(Millis(100));
  const Effects& more = instance.Post(Event::LoadQueryTimeout{instance.Now(), probes[0].call});
  all.insert(all.end(), more.begin(), more.end());
  CHECK(SingleInstance::Of<Dispatch>(all).size() <= 1);
  CHECK(instance.GetState().CallsInProgress() + SingleInstance::Of<Reject>(all).size() == 1);
}

TEST_CASE("a flood of calls: questions stay within the fleet's budget for each endpoint") {
  StateOptions options;
  options.load_queries_per_endpoint_per_second = 10;
  SingleInstance instance(options);
  WithEndpoints(instance, 4, 0);
  size_t asked = 0;
  constexpr int kSeconds = 60;
  for (int i = 0; i < kSeconds * 100; ++i) {
    asked += SingleInstance::Of<Probe>(instance.Call()).size();
    instance.Advance(Millis(10));
  }
  CHECK(asked <= static_cast<size_t>(options.load_queries_per_endpoint_per_second * 4 * kSeconds));
  CHECK(asked > 0);
}

TEST_CASE("a fleet larger than the settings say: extra attempts stay within the budget that all share") {
  StateOptions options;
  options.retry_ratio = 0;
  options.retry_slack = 100;
  options.fleet_limit = 2;
  SingleInstance instance(options);
  WithEndpoints(instance, 4, 0);
  constexpr int kPeers = 99;
  for (int i = 1; i <= kPeers; ++i) {
    GossipMessage message;
    message.sender.name = "peer" + std::to_string(i);
    message.sender.incarnation = 1;
    message.sender.peer_address = "127.0.0.1:" + std::to_string(i);
    instance.Post(Event::GossipReceived{instance.Now(), message});
  }
  instance.Post(Event::Tick{instance.Now()});
  size_t retries = 0;
  for (int i = 0; i < 20; ++i) {
    const auto probes = SingleInstance::Of<Probe>(instance.Call());
    REQUIRE_FALSE(probes.empty());
    REQUIRE(SingleInstance::Of<Dispatch>(instance.Answer(probes[0], 0, 1.0F)).size() == 1);
    Event::AttemptEnded ended;
    ended.now = instance.Now();
    ended.call = probes[0].call;
    ended.endpoint = probes[0].endpoint;
    ended.result = AttemptResult::kRefused;
    retries += SingleInstance::Of<Probe>(instance.Post(ended)).empty() ? 0 : 1;
    for (int step = 0; step < 8; ++step) {
      instance.Advance(Millis(500));
      instance.Post(Event::Tick{instance.Now()});
    }
  }
  CHECK(retries <= static_cast<size_t>(options.retry_slack) / (kPeers + 1));
}

}  // namespace
}  // namespace sassafras
