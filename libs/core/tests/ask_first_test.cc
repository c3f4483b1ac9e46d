#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "core/gossip_message.h"
#include "held_calls.h"
#include "single_instance.h"
#include "state_parts.h"

namespace sassafras {
namespace {

using Millis = SingleInstance::Millis;
using Dispatch = Effect::Dispatch;
using SendProbe = Effect::SendProbe;
using Reject = Effect::Reject;

/** Gives the instance `near` endpoints in its own failure domain "a" and `far` ones in domain "b". */
SingleInstance& AddEndpoints(SingleInstance& instance, int near, int far) {
  std::vector<EndpointChange> changes;
  for (int i = 0; i < near; ++i)
    changes.push_back(SingleInstance::MakeChange("near" + std::to_string(i), 10 + static_cast<uint64_t>(i)));
  for (int i = 0; i < far; ++i)
    changes.push_back(SingleInstance::MakeChange("far" + std::to_string(i), 50 + static_cast<uint64_t>(i), "b"));
  instance.ReceiveLists(1, SingleInstance::MakeLists("s"));
  instance.ReceiveEndpoints(changes, true, 100);
  return instance;
}

TEST_CASE("a call goes to an endpoint that reports being fast now, even if speeds change within milliseconds") {
  SingleInstance instance;
  AddEndpoints(instance, 3, 3);
  const auto probes = SingleInstance::EffectsOfType<SendProbe>(instance.ReceiveCall());
  REQUIRE(probes.size() == 3);
  CHECK(SingleInstance::EffectsOfType<Dispatch>(instance.AnswerProbe(probes[0], 0, 5.0F)).empty());
  const auto dispatches = SingleInstance::EffectsOfType<Dispatch>(instance.AnswerProbe(probes[1], 0, 1.0F));
  REQUIRE(dispatches.size() == 1);
  CHECK(dispatches[0].endpoint == probes[1].endpoint);
}

TEST_CASE("when all endpoints of the own failure domain are slow, others are probed and a fast one is used") {
  SingleInstance instance;
  AddEndpoints(instance, 3, 3);
  const auto probes = SingleInstance::EffectsOfType<SendProbe>(instance.ReceiveCall());
  REQUIRE(probes.size() == 3);
  std::vector<SendProbe> more_probes;
  for (const SendProbe& probe : probes) {
    CHECK(instance.EndpointName(probe.endpoint).starts_with("near"));
    more_probes = SingleInstance::EffectsOfType<SendProbe>(instance.AnswerProbe(probe, 0, 5.0F));
  }
  REQUIRE(more_probes.size() == 3);
  CHECK(instance.EndpointName(more_probes[0].endpoint).starts_with("far"));
  CHECK(SingleInstance::EffectsOfType<Dispatch>(instance.AnswerProbe(more_probes[0], 0, 1.0F)).size() == 1);
}

TEST_CASE("when probed endpoints do not answer, one is chosen without their answers when the time is up") {
  SingleInstance instance;
  AddEndpoints(instance, 3, 0);
  const Effects& effects = instance.ReceiveCall();
  const auto probes = SingleInstance::EffectsOfType<SendProbe>(effects);
  const auto timers = SingleInstance::EffectsOfType<Effect::ArmProbeWaitTimer>(effects);
  REQUIRE(timers.size() == 1);
  instance.Advance(timers[0].at - instance.Now());
  CHECK(SingleInstance::EffectsOfType<Dispatch>(
            instance.HandleEvent(Event::ProbeWaitExpired{instance.Now(), probes[0].call}))
            .size() == 1);
}

TEST_CASE("an instance with new connections waits for probe answers that are slower than usual") {
  SingleInstance instance;
  AddEndpoints(instance, 3, 0);
  // The first probe is answered within a millisecond, as by endpoints whose connections are in use.
  const auto probes = SingleInstance::EffectsOfType<SendProbe>(instance.ReceiveCall());
  instance.Advance(Millis(1));
  REQUIRE(SingleInstance::EffectsOfType<Dispatch>(instance.AnswerProbe(probes[0], 0, 1.0F)).size() == 1);
  const auto timers = SingleInstance::EffectsOfType<Effect::ArmProbeWaitTimer>(instance.ReceiveCall());
  REQUIRE(timers.size() == 1);
  // A slow endpoint costs 400 ms more than the usual 100 ms, so waiting 20 ms for an answer is worthwhile.
  CHECK(timers[0].at - instance.Now() > Millis(20));
  CHECK(timers[0].at - instance.Now() <= Millis(400) / 8);
}

/** Returns the number of requests that the endpoint of this name reports. */
using LoadOfEndpoint = std::function<uint32_t(const std::string& name)>;

/**
 * Answers a call's probes until it is dispatched or rejected; returns the last effects.
 * @param waited  set to the time that passed
 */
Effects ProbeUntilDecided(SingleInstance& instance, Effects effects, const LoadOfEndpoint& load, Duration& waited) {
  const TimePoint start = instance.Now();
  for (int i = 0; i < 100; ++i) {
    const bool decided = !SingleInstance::EffectsOfType<Dispatch>(effects).empty() ||
                         !SingleInstance::EffectsOfType<Reject>(effects).empty();
    if (decided)
      break;
    const auto probes = SingleInstance::EffectsOfType<SendProbe>(effects);
    CallHandle call;
    Effects next_effects;
    for (const SendProbe& probe : probes) {
      call = probe.call;
      const Effects& more_effects = instance.AnswerProbe(probe, load(instance.EndpointName(probe.endpoint)), 1.0F);
      next_effects.insert(next_effects.end(), more_effects.begin(), more_effects.end());
    }
    const auto timers = SingleInstance::EffectsOfType<Effect::ArmProbeWaitTimer>(next_effects);
    if (SingleInstance::EffectsOfType<SendProbe>(next_effects).empty() && !timers.empty()) {
      instance.Advance(timers.back().at - instance.Now());
      const Effects& more_effects = instance.HandleEvent(Event::ProbeWaitExpired{instance.Now(), call});
      next_effects.insert(next_effects.end(), more_effects.begin(), more_effects.end());
    }
    effects = next_effects;
  }
  waited = instance.Now() - start;
  return effects;
}

/** As above, with the same load at every endpoint. */
Effects ProbeUntilDecided(SingleInstance& instance, Effects effects, uint32_t in_flight, Duration& waited) {
  return ProbeUntilDecided(
      instance, std::move(effects), [in_flight](const std::string&) { return in_flight; }, waited);
}

TEST_CASE(
    "when the queues of all endpoints are full, a call is held briefly, then rejected with a time to retry after") {
  SingleInstance instance;
  AddEndpoints(instance, 6, 0);
  Duration waited{};
  const Effects effects = ProbeUntilDecided(instance, instance.ReceiveCall(), 30, waited);
  const auto rejections = SingleInstance::EffectsOfType<Reject>(effects);
  REQUIRE(rejections.size() == 1);
  CHECK(rejections[0].reason == Reason::kOverloaded);
  CHECK(waited <= Millis(400) / 8);
  CHECK(rejections[0].retry_after > Millis(0));
  CHECK(rejections[0].retry_after <= Millis(2'000) / 3);
}

TEST_CASE("when endpoints have few free slots, a call is held briefly and then sent") {
  SingleInstance instance;
  AddEndpoints(instance, 6, 0);
  Duration waited{};
  const Effects effects = ProbeUntilDecided(instance, instance.ReceiveCall(), 5, waited);
  CHECK(SingleInstance::EffectsOfType<Dispatch>(effects).size() == 1);
  CHECK(waited > Millis(0));
  CHECK(waited <= Millis(400) / 8);
}

/** Lets `calls` calls end at the endpoint with an error of its own, as an endpoint with a partial fault does. */
void FailCallsAt(SingleInstance& instance, const std::string& name, int calls) {
  const auto load = [&](const std::string& endpoint) { return endpoint == name ? 0u : 60u; };
  for (int i = 0; i < calls; ++i) {
    Duration waited{};
    const auto dispatches =
        SingleInstance::EffectsOfType<Dispatch>(ProbeUntilDecided(instance, instance.ReceiveCall(), load, waited));
    REQUIRE(dispatches.size() == 1);
    REQUIRE(instance.EndpointName(dispatches[0].endpoint) == name);
    instance.Advance(Millis(100));
    Event::AttemptEnded ended;
    ended.now = instance.Now();
    ended.call = dispatches[0].call;
    ended.endpoint = dispatches[0].endpoint;
    ended.failure_status = true;
    instance.HandleEvent(ended);
  }
}

TEST_CASE("while endpoints fail part of their requests, calls are not rejected as long as one has a free slot") {
  SingleInstance instance;
  AddEndpoints(instance, 3, 0);
  FailCallsAt(instance, "near0", 1);
  FailCallsAt(instance, "near1", 30);
  FailCallsAt(instance, "near2", 30);
  // The endpoint that fails least has a long queue; the others are idle.
  const auto load = [](const std::string& endpoint) { return endpoint == "near0" ? 18u : 0u; };
  Duration waited{};
  const Effects effects = ProbeUntilDecided(instance, instance.ReceiveCall(), load, waited);
  CHECK(SingleInstance::EffectsOfType<Reject>(effects).empty());
  CHECK(SingleInstance::EffectsOfType<Dispatch>(effects).size() == 1);
}

TEST_CASE("a short queue at endpoints that fail part of their requests does not make a call too late") {
  SingleInstance instance;
  AddEndpoints(instance, 3, 0);
  for (const char* name : {"near0", "near1", "near2"})
    FailCallsAt(instance, name, 12);
  Duration waited{};
  const Effects effects = ProbeUntilDecided(instance, instance.ReceiveCall(), 6, waited);
  CHECK(SingleInstance::EffectsOfType<Reject>(effects).empty());
  CHECK(SingleInstance::EffectsOfType<Dispatch>(effects).size() == 1);
}

/** Reports the end of an attempt with an answer that carries the endpoint's load. */
const Effects& EndAttempt(SingleInstance& instance, const Dispatch& attempt, uint32_t in_flight) {
  Event::AttemptEnded ended;
  ended.now = instance.Now();
  ended.call = attempt.call;
  ended.endpoint = attempt.endpoint;
  ended.load.present = true;
  ended.load.in_flight = in_flight;
  ended.load.slots = 6;
  return instance.HandleEvent(ended);
}

TEST_CASE("at the crest a held call takes the slot that an answer shows to be free, without another probe") {
  SingleInstance instance;
  AddEndpoints(instance, 3, 0);
  Duration waited{};
  const auto running =
      SingleInstance::EffectsOfType<Dispatch>(ProbeUntilDecided(instance, instance.ReceiveCall(), 5, waited));
  REQUIRE(running.size() == 1);
  const auto probes = SingleInstance::EffectsOfType<SendProbe>(instance.ReceiveCall());
  for (const SendProbe& probe : probes)
    CHECK(SingleInstance::EffectsOfType<Reject>(instance.AnswerProbe(probe, 30, 1.0F)).empty());
  instance.Advance(Millis(5));
  const Effects& effects = EndAttempt(instance, running[0], 5);
  const auto dispatches = SingleInstance::EffectsOfType<Dispatch>(effects);
  REQUIRE(dispatches.size() == 1);
  CHECK(dispatches[0].endpoint == running[0].endpoint);
  CHECK(dispatches[0].call == probes[0].call);
  CHECK(SingleInstance::EffectsOfType<SendProbe>(effects).empty());
}

TEST_CASE("at the crest a held call does not take a slot of an endpoint that is still full") {
  SingleInstance instance;
  AddEndpoints(instance, 3, 0);
  Duration waited{};
  const auto running =
      SingleInstance::EffectsOfType<Dispatch>(ProbeUntilDecided(instance, instance.ReceiveCall(), 5, waited));
  REQUIRE(running.size() == 1);
  for (const SendProbe& probe : SingleInstance::EffectsOfType<SendProbe>(instance.ReceiveCall()))
    instance.AnswerProbe(probe, 30, 1.0F);
  CHECK(SingleInstance::EffectsOfType<Dispatch>(EndAttempt(instance, running[0], 7)).empty());
}

// Guards against the failure that the work for each held call and each answer grew with the number of held calls.
TEST_CASE("the number of held calls that an answer has to be matched with is bounded") {
  StateOptions options;
  options.load_probes_per_endpoint_per_second = 1'000;
  SingleInstance instance(options);
  AddEndpoints(instance, 3, 0);
  Duration waited{};
  const auto running =
      SingleInstance::EffectsOfType<Dispatch>(ProbeUntilDecided(instance, instance.ReceiveCall(), 5, waited));
  REQUIRE(running.size() == 1);
  const std::vector<ServiceState>& services = instance.GetState().MutableParts().services;
  size_t max_held = 0;
  size_t rejected = 0;
  std::vector<CallHandle> calls;
  for (size_t i = 0; i < 2 * kMaxHeldCalls; ++i) {
    for (const SendProbe& probe : SingleInstance::EffectsOfType<SendProbe>(instance.ReceiveCall())) {
      rejected += SingleInstance::EffectsOfType<Reject>(instance.AnswerProbe(probe, 30, 1.0F)).size();
      calls.push_back(probe.call);
    }
    for (const ServiceState& service : services)
      max_held = std::max(max_held, service.held_calls.size());
  }
  CHECK(max_held == kMaxHeldCalls);
  // The calls beyond the bound wait for their next probes like the others.
  CHECK(rejected == 0);
  // The call held longest takes the slot that an answer shows to be free.
  const auto dispatches = SingleInstance::EffectsOfType<Dispatch>(EndAttempt(instance, running[0], 5));
  REQUIRE(dispatches.size() == 1);
  CHECK(dispatches[0].call == calls.front());
}

/** Answers a call's probes, without letting time pass, until no more are sent; returns the last effects. */
Effects AnswerProbes(SingleInstance& instance, Effects effects, uint32_t in_flight) {
  auto probes = SingleInstance::EffectsOfType<SendProbe>(effects);
  while (!probes.empty()) {
    effects.clear();
    for (const SendProbe& probe : probes) {
      const Effects& more_effects = instance.AnswerProbe(probe, in_flight, 1.0F);
      effects.insert(effects.end(), more_effects.begin(), more_effects.end());
    }
    probes = SingleInstance::EffectsOfType<SendProbe>(effects);
  }
  return effects;
}

TEST_CASE("while the probe budget is low, a call is rejected at once if the maximum number of calls is held") {
  StateOptions options;
  // Enough probes for the calls below, but too few for them to probe again.
  options.load_probes_per_endpoint_per_second = 60;
  SingleInstance instance(options);
  AddEndpoints(instance, 3, 0);
  for (size_t i = 0; i <= kMaxHeldCalls; ++i) {
    CAPTURE(i);
    Effects effects = instance.ReceiveCall();
    REQUIRE_FALSE(SingleInstance::EffectsOfType<SendProbe>(effects).empty());
    effects = AnswerProbes(instance, std::move(effects), 30);
    REQUIRE(SingleInstance::EffectsOfType<Reject>(effects).size() == (i < kMaxHeldCalls ? 0 : 1));
  }
}

/** Answers all probes of the effects: one endpoint is full, the others are idle but run work five times slower. */
Effects AnswerSlowOrFull(SingleInstance& instance, const std::vector<SendProbe>& probes, size_t full) {
  Effects effects;
  for (size_t i = 0; i < probes.size(); ++i)
    effects = instance.AnswerProbe(probes[i], i < full ? 12 : 0, i < full ? 1.0F : 5.0F);
  return effects;
}

TEST_CASE("while most endpoints are full, a slot is not given to a call that would end late") {
  for (const size_t full : {1u, 2u}) {
    CAPTURE(full);
    SingleInstance instance;
    AddEndpoints(instance, 3, 0);
    Duration waited{};
    for (int i = 0; full == 2 && i < 3; ++i)
      ProbeUntilDecided(instance, instance.ReceiveCall(), 30, waited);
    Effects effects = instance.ReceiveCall();
    for (int round = 0; round < 10 && !effects.empty(); ++round) {
      const auto probes = SingleInstance::EffectsOfType<SendProbe>(effects);
      effects = AnswerSlowOrFull(instance, probes, full);
      const auto timers = SingleInstance::EffectsOfType<Effect::ArmProbeWaitTimer>(effects);
      if (timers.empty())
        break;
      instance.Advance(timers.back().at - instance.Now());
      effects = instance.HandleEvent(Event::ProbeWaitExpired{instance.Now(), probes[0].call});
    }
    CHECK(SingleInstance::EffectsOfType<Reject>(effects).size() == (full == 2 ? 1 : 0));
    CHECK(SingleInstance::EffectsOfType<Dispatch>(effects).size() == (full == 2 ? 0 : 1));
  }
}

/** Fingerprint of a request that a test sends more than once; those of other calls are small. */
constexpr uint64_t kRepeatedRequest = 1'000'000;

/** Returns a load at which two endpoints are idle and the others have long queues. */
uint32_t ScarceLoad(const std::string& endpoint) {
  return endpoint == "near0" || endpoint == "near1" ? 0u : 30u;
}

/** Lets other callers be rejected for want of a slot until `time` has passed, which makes free slots scarce. */
void RejectOthers(SingleInstance& instance, Duration time) {
  const TimePoint end = instance.Now() + time;
  while (instance.Now() < end) {
    Duration waited{};
    const Effects effects = ProbeUntilDecided(instance, instance.ReceiveCall(), 30, waited);
    REQUIRE(SingleInstance::EffectsOfType<Reject>(effects).size() == 1);
  }
}

// Guards against the failure that a short limit was taken for the remaining time of a caller rejected before.
TEST_CASE("of two groups of callers with different limits on one plan, both get the slots that are free") {
  for (const Millis limit : {Millis(2'000), Millis(1'600), Millis(600)}) {
    for (const bool same_request : {false, true}) {
      CAPTURE(limit.count());
      CAPTURE(same_request);
      const auto fingerprint = same_request ? std::optional<uint64_t>(kRepeatedRequest) : std::nullopt;
      SingleInstance instance;
      AddEndpoints(instance, 6, 0);
      Duration waited{};
      for (int i = 0; i < 10; ++i)
        ProbeUntilDecided(instance, instance.ReceiveCall(Millis(2'000), fingerprint), 30, waited);
      const Effects effects = ProbeUntilDecided(instance, instance.ReceiveCall(limit, fingerprint), ScarceLoad, waited);
      CHECK(SingleInstance::EffectsOfType<Dispatch>(effects).size() == 1);
    }
  }
}

TEST_CASE("while free slots are scarce, they go to callers that can still be answered in time") {
  for (const bool returns : {false, true}) {
    CAPTURE(returns);
    SingleInstance instance;
    AddEndpoints(instance, 6, 0);
    const TimePoint caller_deadline = instance.Now() + Millis(2'000);
    Duration waited{};
    ProbeUntilDecided(instance, instance.ReceiveCall(Millis(2'000), kRepeatedRequest), 30, waited);
    RejectOthers(instance, Millis(400));
    // The caller that returns has used up its objective of 400 ms on the try that was rejected; the other one has not,
    // although it allows as little time.
    const uint64_t fingerprint = returns ? kRepeatedRequest : kRepeatedRequest + 1;
    const Duration limit = caller_deadline - instance.Now();
    const Effects effects = ProbeUntilDecided(instance, instance.ReceiveCall(limit, fingerprint), ScarceLoad, waited);
    CHECK(SingleInstance::EffectsOfType<Dispatch>(effects).size() == (returns ? 0 : 1));
    CHECK(SingleInstance::EffectsOfType<Reject>(effects).size() == (returns ? 1 : 0));
  }
}

TEST_CASE("the time that a caller spent counts from its first try, however often it was rejected since") {
  SingleInstance instance;
  AddEndpoints(instance, 6, 0);
  const TimePoint caller_deadline = instance.Now() + Millis(2'000);
  Duration waited{};
  // Each try alone leaves enough of the objective of 400 ms.
  for (int i = 0; i < 4; ++i) {
    const Duration limit = caller_deadline - instance.Now();
    ProbeUntilDecided(instance, instance.ReceiveCall(limit, kRepeatedRequest), 30, waited);
    RejectOthers(instance, Millis(60));
  }
  const Duration limit = caller_deadline - instance.Now();
  const Effects effects =
      ProbeUntilDecided(instance, instance.ReceiveCall(limit, kRepeatedRequest), ScarceLoad, waited);
  CHECK(SingleInstance::EffectsOfType<Reject>(effects).size() == 1);
}

TEST_CASE("a caller that comes back after a rejection is served as soon as slots are free again") {
  SingleInstance instance;
  AddEndpoints(instance, 6, 0);
  const TimePoint caller_deadline = instance.Now() + Millis(2'600);
  Duration waited{};
  ProbeUntilDecided(instance, instance.ReceiveCall(Millis(2'600), kRepeatedRequest), 30, waited);
  instance.Advance(Millis(1'000));
  const Duration limit = caller_deadline - instance.Now();
  const Effects effects = ProbeUntilDecided(instance, instance.ReceiveCall(limit, kRepeatedRequest), 0, waited);
  CHECK(SingleInstance::EffectsOfType<Dispatch>(effects).size() == 1);
}

TEST_CASE("callers that retry after a rejection have no precedence under overload") {
  SingleInstance instance;
  AddEndpoints(instance, 6, 0);
  Duration waited{};
  ProbeUntilDecided(instance, instance.ReceiveCall(), 0, waited);
  const TimePoint caller_deadline = instance.Now() + Millis(2'000);
  for (const Millis pause : {Millis(700), Millis(0)}) {
    CAPTURE(pause.count());
    const Duration limit = caller_deadline - instance.Now();
    const Effects effects = ProbeUntilDecided(instance, instance.ReceiveCall(limit, kRepeatedRequest), 11, waited);
    CHECK(SingleInstance::EffectsOfType<Dispatch>(effects).empty());
    CHECK(SingleInstance::EffectsOfType<Reject>(effects).size() == 1);
    instance.Advance(pause);
  }
}

TEST_CASE(
    "when the lists change while a call probes endpoints, it is not sent to a service that the plan no longer uses") {
  SingleInstance instance;
  AddEndpoints(instance, 3, 3);
  const auto probes = SingleInstance::EffectsOfType<SendProbe>(instance.ReceiveCall());
  instance.ReceiveLists(2, SingleInstance::MakeLists("t"));
  Effects all_effects;
  for (const SendProbe& probe : probes) {
    const Effects& more_effects = instance.AnswerProbe(probe, 0, 5.0F);
    all_effects.insert(all_effects.end(), more_effects.begin(), more_effects.end());
  }
  instance.Advance(Millis(100));
  const Effects& more_effects = instance.HandleEvent(Event::ProbeWaitExpired{instance.Now(), probes[0].call});
  all_effects.insert(all_effects.end(), more_effects.begin(), more_effects.end());
  CHECK(SingleInstance::EffectsOfType<Dispatch>(all_effects).size() <= 1);
  CHECK(instance.GetState().CallsInProgress() + SingleInstance::EffectsOfType<Reject>(all_effects).size() == 1);
}

TEST_CASE("probes on behalf of many calls stay within the fleet's budget for each endpoint") {
  StateOptions options;
  options.load_probes_per_endpoint_per_second = 10;
  SingleInstance instance(options);
  AddEndpoints(instance, 4, 0);
  size_t probes_sent = 0;
  constexpr int kDurationSeconds = 60;
  for (int i = 0; i < kDurationSeconds * 100; ++i) {
    probes_sent += SingleInstance::EffectsOfType<SendProbe>(instance.ReceiveCall()).size();
    instance.Advance(Millis(10));
  }
  CHECK(probes_sent <= static_cast<size_t>(options.load_probes_per_endpoint_per_second * 4 * kDurationSeconds));
  CHECK(probes_sent > 0);
}

TEST_CASE("retries stay within the budget that the fleet shares when the fleet is larger than fleet_limit") {
  StateOptions options;
  options.retry_ratio = 0;
  options.retry_slack = 100;
  options.fleet_limit = 2;
  SingleInstance instance(options);
  AddEndpoints(instance, 4, 0);
  constexpr int kPeers = 99;
  for (int i = 1; i <= kPeers; ++i) {
    GossipMessage message;
    message.sender.name = "peer" + std::to_string(i);
    message.sender.incarnation = 1;
    message.sender.peer_address = "127.0.0.1:" + std::to_string(i);
    instance.HandleEvent(Event::GossipReceived{instance.Now(), message});
  }
  instance.HandleEvent(Event::Tick{instance.Now()});
  size_t retries = 0;
  for (int i = 0; i < 20; ++i) {
    const auto probes = SingleInstance::EffectsOfType<SendProbe>(instance.ReceiveCall());
    REQUIRE_FALSE(probes.empty());
    REQUIRE(SingleInstance::EffectsOfType<Dispatch>(instance.AnswerProbe(probes[0], 0, 1.0F)).size() == 1);
    Event::AttemptEnded ended;
    ended.now = instance.Now();
    ended.call = probes[0].call;
    ended.endpoint = probes[0].endpoint;
    ended.result = AttemptResult::kRefused;
    retries += SingleInstance::EffectsOfType<SendProbe>(instance.HandleEvent(ended)).empty() ? 0 : 1;
    for (int step = 0; step < 8; ++step) {
      instance.Advance(Millis(500));
      instance.HandleEvent(Event::Tick{instance.Now()});
    }
  }
  CHECK(retries <= static_cast<size_t>(options.retry_slack) / (kPeers + 1));
}

}  // namespace
}  // namespace sassafras
