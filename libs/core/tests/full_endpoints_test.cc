#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "single_instance.h"
#include "state_parts.h"

namespace sassafras {
namespace {

using Millis = SingleInstance::Millis;
using Dispatch = Effect::Dispatch;
using SendProbe = Effect::SendProbe;
using Reject = Effect::Reject;

/** Slots of each endpoint of SingleInstance, and requests at a full one. */
constexpr uint32_t kSlots = 6;

/** One instance in front of four endpoints, whose health answers say how many requests they have. */
struct Load {
  explicit Load(Repeat repeat) {
    std::vector<EndpointChange> changes;
    for (uint64_t i = 0; i < 4; ++i)
      changes.push_back(SingleInstance::MakeChange("e" + std::to_string(i), 10 + i));
    instance.ReceiveLists(1, SingleInstance::MakeLists("s", repeat));
    instance.ReceiveEndpoints(changes, true, 100);
  }

  void UseRepeat(Repeat repeat) { instance.ReceiveLists(++generation, SingleInstance::MakeLists("s", repeat)); }

  bool IsEjected(const std::string& name) {
    StateParts& parts = instance.GetState().MutableParts();
    for (uint32_t i = 0; i < 4; ++i) {
      if (instance.EndpointName(EndpointHandle(i)) == name)
        return parts.At(EndpointHandle(i)).ejected_until > instance.Now();
    }
    return false;
  }
  size_t CountEjected() {
    size_t count = 0;
    for (uint32_t i = 0; i < 4; ++i)
      count += IsEjected("e" + std::to_string(i)) ? 1 : 0;
    return count;
  }

  /** Sends a call and answers its probes, except those of the hanging endpoint, until it is dispatched or rejected. */
  void Call(std::optional<uint64_t> fingerprint = std::nullopt) {
    Follow(instance.ReceiveCall(Millis(2'000), fingerprint));
  }

  /** Lets the attempt that Call() or End() dispatched end. */
  void End(AttemptResult result, Duration after) {
    instance.Advance(after);
    Event::AttemptEnded ended;
    ended.now = instance.Now();
    ended.call = dispatch->call;
    ended.endpoint = dispatch->endpoint;
    ended.result = result;
    Follow(instance.HandleEvent(ended));
  }

  void Follow(Effects effects) {
    dispatch.reset();
    reason.reset();
    for (int round = 0; round < 100 && !effects.empty(); ++round) {
      for (const Dispatch& made : SingleInstance::EffectsOfType<Dispatch>(effects))
        dispatch = made;
      for (const Reject& made : SingleInstance::EffectsOfType<Reject>(effects))
        reason = made.reason;
      if (dispatch.has_value() || reason.has_value())
        return;
      Effects next;
      const auto take = [&](const Effects& more) { next.insert(next.end(), more.begin(), more.end()); };
      for (const SendProbe& probe : SingleInstance::EffectsOfType<SendProbe>(effects)) {
        call = probe.call;
        take(instance.HandleEvent(AnswerOf(probe)));
      }
      const auto timers = SingleInstance::EffectsOfType<Effect::ArmProbeWaitTimer>(next);
      if (SingleInstance::EffectsOfType<SendProbe>(next).empty() && !timers.empty()) {
        instance.Advance(timers.back().at - instance.Now());
        take(instance.HandleEvent(Event::ProbeWaitExpired{instance.Now(), call}));
      }
      effects = next;
    }
  }

  Event::ProbeEnded AnswerOf(const SendProbe& probe) const {
    Event::ProbeEnded event;
    event.now = instance.Now();
    event.endpoint = probe.endpoint;
    event.call = probe.call;
    event.answered = instance.EndpointName(probe.endpoint) != hanging;
    event.load.present = event.answered;
    event.load.in_flight = in_flight;
    event.load.slots = kSlots;
    event.load.incarnation = incarnation;
    return event;
  }

  SingleInstance instance;
  uint64_t generation = 1;
  uint32_t in_flight = 0;
  uint64_t incarnation = 1;
  /** Name of the endpoint that answers no probe. */
  std::string hanging;
  CallHandle call;
  std::optional<Dispatch> dispatch;
  std::optional<Reason> reason;
};

/** Lets calls end without an answer until run-once calls are no longer sent to full endpoints. */
void LearnSilence(Load& load, AttemptResult result, Duration after) {
  for (int i = 0; i < 8; ++i) {
    load.Call();
    if (load.dispatch.has_value())
      load.End(result, after);
  }
}

// Guards against a chain of ejections: each ejected endpoint would leave more load for the others, which are full too.
TEST_CASE("all endpoints full and silent: none is ejected, and run-once calls are rejected without having run") {
  Load load(Repeat::kNever);
  load.in_flight = kSlots;
  int sent = 0;
  for (int i = 0; i < 20; ++i) {
    load.Call();
    sent += load.dispatch.has_value() ? 1 : 0;
    if (load.dispatch.has_value())
      load.End(AttemptResult::kTimedOut, Millis(1'000));
    else
      CHECK(load.reason == Reason::kOverloaded);
    CHECK(load.CountEjected() == 0);
  }
  CHECK(sent > 0);
  CHECK(sent <= 8);
  // Served again as soon as there is room.
  load.in_flight = kSlots - 1;
  load.Call();
  CHECK(load.dispatch.has_value());
}

TEST_CASE("all endpoints full and silent: calls that may run twice are sent as before") {
  Load load(Repeat::kNever);
  load.in_flight = kSlots;
  LearnSilence(load, AttemptResult::kTimedOut, Millis(1'000));
  load.Call();
  REQUIRE(load.reason == Reason::kOverloaded);
  load.UseRepeat(Repeat::kSafe);
  load.Call();
  CHECK(load.dispatch.has_value());
}

// Guards against the rule outlasting its cause.
TEST_CASE("all endpoints full and silent: run-once calls are sent to full endpoints again after a quiet time") {
  Load load(Repeat::kNever);
  load.in_flight = kSlots;
  LearnSilence(load, AttemptResult::kTimedOut, Millis(1'000));
  load.Call();
  REQUIRE(load.reason == Reason::kOverloaded);
  load.instance.Advance(std::chrono::minutes(5));
  load.Call();
  CHECK(load.dispatch.has_value());
}

// Guards against a stopped endpoint that is never ejected because it was full when it stopped.
TEST_CASE("one endpoint hangs, others answer: it is ejected although its last report showed all slots taken") {
  Load load(Repeat::kNever);
  load.in_flight = kSlots;
  for (int i = 0; i < 4; ++i)
    load.Call();
  load.in_flight = 0;
  load.hanging = "e0";
  int calls = 0;
  while (calls < 200 && !load.IsEjected("e0")) {
    ++calls;
    load.instance.Advance(Millis(50));
    load.Call();
    CHECK(load.dispatch.has_value());
    const bool hangs = load.dispatch.has_value() && load.instance.EndpointName(load.dispatch->endpoint) == "e0";
    load.End(hangs ? AttemptResult::kTimedOut : AttemptResult::kAnswered, Millis(100));
  }
  CHECK(load.IsEjected("e0"));
  CHECK(load.CountEjected() == 1);
}

// Guards against the quarantine of a request that does no harm, and against ejections, as for timeouts.
TEST_CASE("endpoints that reset when full: neither they nor the request are blamed") {
  Load load(Repeat::kSafe);
  load.in_flight = kSlots;
  constexpr uint64_t kFingerprint = 7;
  for (int i = 0; i < 20; ++i) {
    load.Call(kFingerprint);
    while (load.dispatch.has_value())
      load.End(AttemptResult::kBroken, Millis(1));
    CHECK(load.reason != Reason::kQuarantined);
    CHECK(load.CountEjected() == 0);
  }
  CHECK(load.instance.GetState().QuarantineCount() == 0);
  load.UseRepeat(Repeat::kNever);
  load.Call();
  CHECK(load.reason == Reason::kOverloaded);
  load.in_flight = kSlots - 1;
  load.Call();
  CHECK(load.dispatch.has_value());
}

TEST_CASE("endpoints that reset when not full fail as before") {
  Load load(Repeat::kNever);
  for (int i = 0; i < 40 && load.CountEjected() == 0; ++i) {
    load.Call();
    REQUIRE(load.dispatch.has_value());
    load.End(AttemptResult::kBroken, Millis(1));
  }
  CHECK(load.CountEjected() > 0);
}

// Guards against a crash under full load being taken for silence: run-once calls would then be rejected needlessly.
TEST_CASE("full endpoints crash and start again: run-once calls are sent to full endpoints as before") {
  Load load(Repeat::kNever);
  load.in_flight = kSlots;
  for (int i = 0; i < 8; ++i) {
    load.Call();
    REQUIRE(load.dispatch.has_value());
    load.End(AttemptResult::kBroken, Millis(1));
    ++load.incarnation;
  }
}

TEST_CASE("endpoints that answer when full: run-once calls are sent to them as before") {
  Load load(Repeat::kNever);
  load.in_flight = kSlots;
  for (int i = 0; i < 20; ++i) {
    load.Call();
    REQUIRE(load.dispatch.has_value());
    load.End(AttemptResult::kAnswered, Millis(100));
  }
}

// Guards against taking a deadline that passes in a queue for silence.
TEST_CASE("endpoints queue longer than a call may wait: run-once calls are sent to them as before") {
  Load load(Repeat::kNever);
  load.in_flight = kSlots;
  for (int i = 0; i < 8; ++i) {
    load.Call();
    REQUIRE(load.dispatch.has_value());
    load.End(AttemptResult::kTimedOut, Millis(250));
  }
}

}  // namespace
}  // namespace sassafras
