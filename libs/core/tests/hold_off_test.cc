#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "single_instance.h"

namespace sassafras {
namespace {

using Millis = SingleInstance::Millis;
using Dispatch = Effect::Dispatch;
using Reject = Effect::Reject;
using SendProbe = Effect::SendProbe;

constexpr Millis kHoldOff{1'500};

/** An instance with the endpoints "e0", "e1", .. of service "s". */
struct Fixture {
  explicit Fixture(size_t endpoints) {
    std::vector<EndpointChange> changes;
    for (size_t i = 0; i < endpoints; ++i)
      changes.push_back(SingleInstance::MakeChange("e" + std::to_string(i), 10 + i));
    instance.ReceiveLists(1, SingleInstance::MakeLists("s"));
    instance.ReceiveEndpoints(changes, true, 100);
  }

  /** Delivers a call and answers its probes until it is dispatched; `probed` gets the names of the probed endpoints. */
  Dispatch StartAttempt(std::vector<std::string>* probed = nullptr) {
    const auto probes = SingleInstance::EffectsOfType<SendProbe>(instance.ReceiveCall());
    for (size_t i = 0; probed != nullptr && i < probes.size(); ++i)
      probed->push_back(instance.EndpointName(probes[i].endpoint));
    for (const SendProbe& probe : probes) {
      const auto dispatches = SingleInstance::EffectsOfType<Dispatch>(instance.AnswerProbe(probe, 0, 1.0F));
      if (!dispatches.empty())
        return dispatches[0];
    }
    FAIL("the call was not dispatched");
    return {};
  }

  /** Ends the attempt with a refusal after which the endpoint wants no requests for kHoldOff. */
  const Effects& Refuse(const Dispatch& attempt) {
    Event::AttemptEnded ended;
    ended.now = instance.Now();
    ended.call = attempt.call;
    ended.endpoint = attempt.endpoint;
    ended.result = AttemptResult::kRefused;
    ended.load.hold_off = kHoldOff;
    return instance.HandleEvent(ended);
  }

  /** Reports the head of an answer of the endpoint, as in the middle of an attempt. */
  void ReportHoldOff(EndpointHandle endpoint, Millis duration) {
    Event::EndpointReported event;
    event.now = instance.Now();
    event.endpoint = endpoint;
    event.load.hold_off = duration;
    instance.HandleEvent(event);
  }

  bool UsesEndpoint() {
    const Effects effects = instance.ReceiveCall();
    return !SingleInstance::EffectsOfType<SendProbe>(effects).empty() ||
           !SingleInstance::EffectsOfType<Dispatch>(effects).empty();
  }

  SingleInstance instance;
};

// Guards against sending calls or probes to an endpoint that asked for none for a while.
TEST_CASE("an endpoint that refuses and holds off requests gets neither calls nor probes until that time is over") {
  Fixture fixture(2);
  const Dispatch refused = fixture.StartAttempt();
  const std::string name = fixture.instance.EndpointName(refused.endpoint);
  fixture.Refuse(refused);
  for (Millis elapsed{0}; elapsed < kHoldOff; elapsed += Millis(100)) {
    std::vector<std::string> probed;
    const Dispatch other = fixture.StartAttempt(&probed);
    CHECK(fixture.instance.EndpointName(other.endpoint) != name);
    REQUIRE(probed.size() == 1);
    CHECK(probed[0] != name);
    fixture.instance.Advance(Millis(100));
  }
  std::vector<std::string> probed;
  fixture.StartAttempt(&probed);
  CHECK(probed.size() == 2);
}

// Guards against holding a call, or promising a time at which no endpoint wants it yet.
TEST_CASE("when all endpoints hold off requests, a call is rejected at once and told when the first wants some again") {
  Fixture fixture(2);
  const Dispatch first = fixture.StartAttempt();
  fixture.Refuse(first);
  fixture.instance.Advance(Millis(500));
  const Dispatch second = fixture.StartAttempt();
  CHECK(second.endpoint != first.endpoint);
  for (const Effects& effects : {fixture.Refuse(second), fixture.instance.ReceiveCall()}) {
    const auto rejections = SingleInstance::EffectsOfType<Reject>(effects);
    REQUIRE(rejections.size() == 1);
    CHECK(rejections[0].retry_after == kHoldOff - Millis(500));
    CHECK(InfoOf(rejections[0].reason).outcome == Outcome::kNotRun);
    CHECK(InfoOf(rejections[0].reason).http_status == 503);
  }
}

// Guards against dispatching a call by the answer to a probe that was sent before the endpoint asked for no requests.
TEST_CASE("a call that is probing is not sent to an endpoint that holds off requests meanwhile") {
  Fixture fixture(1);
  const auto probes = SingleInstance::EffectsOfType<SendProbe>(fixture.instance.ReceiveCall());
  REQUIRE(probes.size() == 1);
  fixture.ReportHoldOff(probes[0].endpoint, kHoldOff);
  const Effects& effects = fixture.instance.AnswerProbe(probes[0], 0, 1.0F);
  CHECK(SingleInstance::EffectsOfType<Dispatch>(effects).empty());
  REQUIRE(SingleInstance::EffectsOfType<Reject>(effects).size() == 1);
  CHECK(SingleInstance::EffectsOfType<Reject>(effects)[0].retry_after == kHoldOff);
}

// Guards against giving a held call the slot of an endpoint that asked for no requests with the same answer.
TEST_CASE("a held call is not sent to an endpoint whose answer holds off requests") {
  Fixture fixture(1);
  const Dispatch running = fixture.StartAttempt();
  for (const SendProbe& probe : SingleInstance::EffectsOfType<SendProbe>(fixture.instance.ReceiveCall()))
    fixture.instance.AnswerProbe(probe, 30, 1.0F);
  Event::AttemptEnded ended;
  ended.now = fixture.instance.Now();
  ended.call = running.call;
  ended.endpoint = running.endpoint;
  ended.load.present = true;
  ended.load.slots = 6;
  ended.load.hold_off = kHoldOff;
  CHECK(SingleInstance::EffectsOfType<Dispatch>(fixture.instance.HandleEvent(ended)).empty());
}

// Guards against a shorter time in a later answer cutting short what the endpoint asked for before.
TEST_CASE("an endpoint that holds off requests twice is left alone until the later of the two times") {
  Fixture fixture(1);
  const EndpointHandle endpoint = fixture.StartAttempt().endpoint;
  fixture.ReportHoldOff(endpoint, kHoldOff);
  fixture.ReportHoldOff(endpoint, Millis(100));
  fixture.instance.Advance(Millis(200));
  CHECK(fixture.instance.GetState().IsHeldOff(endpoint, fixture.instance.Now()));
  CHECK_FALSE(fixture.UsesEndpoint());
  fixture.instance.Advance(kHoldOff);
  CHECK_FALSE(fixture.instance.GetState().IsHeldOff(endpoint, fixture.instance.Now()));
  CHECK(fixture.UsesEndpoint());
}

// Guards against forgetting the time for which an endpoint wants no requests at a change of the endpoints.
TEST_CASE("an endpoint that holds off requests is left alone when it vanishes from the listing and is listed again") {
  Fixture fixture(1);
  fixture.ReportHoldOff(fixture.StartAttempt().endpoint, std::chrono::minutes(2));
  EndpointChange gone;
  gone.kind = EndpointChange::Kind::kGone;
  gone.row.name = "e0";
  gone.revision = 101;
  fixture.instance.ReceiveEndpoints({gone}, false, 101);
  fixture.instance.Advance(std::chrono::minutes(1));
  fixture.instance.HandleEvent(Event::Tick{fixture.instance.Now()});
  EndpointChange back = SingleInstance::MakeChange("e0", 10);
  back.revision = 102;
  fixture.instance.ReceiveEndpoints({back}, false, 102);
  CHECK_FALSE(fixture.UsesEndpoint());
  // The next process of the endpoint asked for nothing.
  back.revision = 103;
  back.incarnation = 2;
  fixture.instance.ReceiveEndpoints({back}, false, 103);
  CHECK(fixture.UsesEndpoint());
}

// Guards against counting a probe that was not sent as a failure of the endpoint.
TEST_CASE("probes that were not sent do not eject the endpoint") {
  Fixture fixture(2);
  for (int i = 0; i < 6; ++i) {
    for (const SendProbe& probe : SingleInstance::EffectsOfType<SendProbe>(fixture.instance.ReceiveCall())) {
      Event::ProbeEnded ended;
      ended.now = fixture.instance.Now();
      ended.endpoint = probe.endpoint;
      ended.call = probe.call;
      ended.withdrawn = true;
      fixture.instance.HandleEvent(ended);
    }
  }
  CHECK(SingleInstance::EffectsOfType<SendProbe>(fixture.instance.ReceiveCall()).size() == 2);
}

}  // namespace
}  // namespace sassafras
