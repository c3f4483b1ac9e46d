#include <doctest/doctest.h>

#include <string>
#include <utility>

#include "base/hash.h"
#include "core/gossip_message.h"
#include "single_instance.h"

namespace sassafras {
namespace {

using Millis = SingleInstance::Millis;
using Dispatch = Effect::Dispatch;
using Kind = EndpointChange::Kind;
using Rumor = GossipMessage::Rumor;
using SendProbe = Effect::SendProbe;

constexpr uint64_t kFirstIncarnation = 1;
constexpr uint64_t kSecondIncarnation = 2;
const std::string kAddress = "127.0.0.1:900";

EndpointChange MakeServing(uint64_t revision, uint64_t incarnation) {
  EndpointChange change = SingleInstance::MakeChange("e", revision);
  change.row.address = kAddress;
  change.incarnation = incarnation;
  return change;
}

/** An instance that knows one endpoint "e" of service "s", in its first incarnation. */
struct Fixture {
  Fixture() {
    instance.ReceiveLists(1, SingleInstance::MakeLists("s"));
    instance.ReceiveEndpoints({MakeServing(10, kFirstIncarnation)}, true, 10);
  }

  /** Delivers a call; returns whether a probe or the call itself is sent to the endpoint. */
  bool UsesEndpoint() {
    const Effects effects = instance.ReceiveCall();
    return !SingleInstance::EffectsOfType<SendProbe>(effects).empty() ||
           !SingleInstance::EffectsOfType<Dispatch>(effects).empty();
  }

  Dispatch StartAttempt() {
    const auto probes = SingleInstance::EffectsOfType<SendProbe>(instance.ReceiveCall());
    REQUIRE(probes.size() == 1);
    const auto dispatches = SingleInstance::EffectsOfType<Dispatch>(instance.AnswerProbe(probes[0], 0, 1.0F));
    REQUIRE(dispatches.size() == 1);
    return dispatches[0];
  }

  /** Ends the attempt with an answer in which the endpoint says that it is leaving. */
  void EndAttempt(const Dispatch& attempt, uint64_t incarnation = 0, bool wrong_endpoint = false) {
    Event::AttemptEnded ended;
    ended.now = instance.Now();
    ended.call = attempt.call;
    ended.endpoint = attempt.endpoint;
    ended.result = wrong_endpoint ? AttemptResult::kRefused : AttemptResult::kAnswered;
    ended.wrong_endpoint = wrong_endpoint;
    ended.load.draining = true;
    ended.load.incarnation = incarnation;
    instance.HandleEvent(ended);
  }

  void AnswerLeaving() { EndAttempt(StartAttempt()); }

  void ChangeOtherEndpoint(uint64_t revision) {
    EndpointChange other = SingleInstance::MakeChange("other", revision);
    other.row.service = "t";
    instance.ReceiveEndpoints({other}, false, revision);
  }

  void RemoveFromListing(uint64_t revision) {
    EndpointChange gone;
    gone.kind = Kind::kGone;
    gone.row.name = "e";
    gone.revision = revision;
    instance.ReceiveEndpoints({gone}, false, revision);
  }

  void ReceiveLeavingRumor(const std::string& name, uint64_t incarnation) {
    Event::GossipReceived event;
    event.now = instance.Now();
    event.message.sender.name = "peer";
    event.message.sender.peer_address = "p";
    event.message.sender.incarnation = 1;
    event.message.rumors.push_back({Rumor::Kind::kLeaving, Hash64(name), incarnation, std::chrono::minutes(10)});
    instance.HandleEvent(event);
  }

  SingleInstance instance;
};

// Guards against forgetting, at a change of any endpoint, that an answer said that its endpoint leaves.
TEST_CASE("an endpoint whose answer says that it leaves gets nothing more when other endpoints change") {
  Fixture fixture;
  fixture.AnswerLeaving();
  CHECK_FALSE(fixture.UsesEndpoint());
  fixture.ChangeOtherEndpoint(11);
  CHECK_FALSE(fixture.UsesEndpoint());
  // Its entry in the store may change for another reason before the endpoint reports there that it leaves.
  EndpointChange changed = MakeServing(12, kFirstIncarnation);
  changed.row.slots = 7;
  fixture.instance.ReceiveEndpoints({changed}, false, 12);
  CHECK_FALSE(fixture.UsesEndpoint());
}

// Guards against forgetting the leaving mark with the rest of the state of an endpoint that is not listed for a while.
TEST_CASE("an endpoint that said that it leaves gets nothing when it vanishes from the listing and is listed again") {
  for (const Millis absence : {Millis(0), Millis(3'000), Millis(60'000)}) {
    CAPTURE(absence.count());
    Fixture fixture;
    fixture.AnswerLeaving();
    fixture.RemoveFromListing(11);
    fixture.instance.Advance(absence);
    fixture.instance.HandleEvent(Event::Tick{fixture.instance.Now()});
    fixture.instance.ReceiveEndpoints({MakeServing(12, kFirstIncarnation)}, false, 12);
    CHECK_FALSE(fixture.UsesEndpoint());
  }
}

// Guards against keeping the leaving mark of an endpoint that moved to another address without restarting.
TEST_CASE("an endpoint that said that it leaves gets nothing at another address either") {
  Fixture fixture;
  fixture.AnswerLeaving();
  EndpointChange moved = MakeServing(11, kFirstIncarnation);
  moved.row.address = "127.0.0.1:901";
  fixture.instance.ReceiveEndpoints({moved}, false, 11);
  CHECK_FALSE(fixture.UsesEndpoint());
}

// Guards against excluding a restarted endpoint because of what its previous process said.
TEST_CASE("an endpoint that left is used again in its next incarnation") {
  for (const bool vanishes : {false, true}) {
    CAPTURE(vanishes);
    Fixture fixture;
    fixture.AnswerLeaving();
    if (vanishes) {
      fixture.RemoveFromListing(11);
      fixture.instance.Advance(Millis(60'000));
      fixture.instance.HandleEvent(Event::Tick{fixture.instance.Now()});
    }
    fixture.instance.ReceiveEndpoints({MakeServing(12, kSecondIncarnation)}, false, 12);
    CHECK(fixture.UsesEndpoint());
  }
}

// Guards against marking the next incarnation by a late answer of the previous one.
TEST_CASE("an answer of an earlier incarnation does not mark the next one as leaving") {
  Fixture fixture;
  const Dispatch attempt = fixture.StartAttempt();
  fixture.instance.ReceiveEndpoints({MakeServing(11, kSecondIncarnation)}, false, 11);
  fixture.EndAttempt(attempt, kFirstIncarnation);
  CHECK(fixture.UsesEndpoint());
}

// Guards against marking an endpoint by what the one that took over its address says of itself.
TEST_CASE("an answer of another endpoint at the address does not mark the expected endpoint as leaving") {
  Fixture fixture;
  fixture.EndAttempt(fixture.StartAttempt(), 0, true);
  // The endpoint is listed again at once; its ejection has ended after 10 s.
  fixture.instance.Advance(Millis(10'000));
  fixture.instance.ReceiveEndpoints({MakeServing(12, kFirstIncarnation)}, false, 12);
  CHECK(fixture.UsesEndpoint());
}

// Guards against ignoring the leaving mark in the failed health check of an endpoint that reports no load.
TEST_CASE("an endpoint that says in a failed probe that it leaves gets nothing more") {
  Fixture fixture;
  const auto probes = SingleInstance::EffectsOfType<SendProbe>(fixture.instance.ReceiveCall());
  REQUIRE(probes.size() == 1);
  Event::ProbeEnded ended;
  ended.now = fixture.instance.Now();
  ended.endpoint = probes[0].endpoint;
  ended.call = probes[0].call;
  ended.load.draining = true;
  CHECK(SingleInstance::EffectsOfType<Dispatch>(fixture.instance.HandleEvent(ended)).empty());
  CHECK_FALSE(fixture.UsesEndpoint());
}

// Guards against forgetting, at a change of any endpoint, that a peer told that an endpoint leaves.
TEST_CASE("an endpoint of which a peer tells that it leaves gets nothing, also after other endpoints change") {
  Fixture fixture;
  fixture.ReceiveLeavingRumor("e", kFirstIncarnation);
  CHECK_FALSE(fixture.UsesEndpoint());
  fixture.ChangeOtherEndpoint(11);
  CHECK_FALSE(fixture.UsesEndpoint());
}

// Guards against losing a peer's rumor that arrives before the endpoint is listed here.
TEST_CASE("an endpoint of which a peer told before it was listed here gets nothing") {
  Fixture fixture;
  fixture.RemoveFromListing(11);
  fixture.instance.Advance(Millis(60'000));
  fixture.instance.HandleEvent(Event::Tick{fixture.instance.Now()});
  fixture.ReceiveLeavingRumor("e", kFirstIncarnation);
  fixture.instance.ReceiveEndpoints({MakeServing(12, kFirstIncarnation)}, false, 12);
  CHECK_FALSE(fixture.UsesEndpoint());
  fixture.instance.ReceiveEndpoints({MakeServing(13, kSecondIncarnation)}, false, 13);
  CHECK(fixture.UsesEndpoint());
}

// Guards against spreading a rumor about no endpoint when an answer comes from the address that an endpoint left.
TEST_CASE("an answer from the former address of an endpoint is not gossiped") {
  Fixture fixture;
  fixture.ReceiveLeavingRumor("unrelated", kFirstIncarnation);
  const Dispatch attempt = fixture.StartAttempt();
  EndpointChange moved = MakeServing(11, kSecondIncarnation);
  moved.row.address = "127.0.0.1:901";
  fixture.instance.ReceiveEndpoints({moved}, false, 11);
  fixture.EndAttempt(attempt);
  for (const auto& sent : SingleInstance::EffectsOfType<Effect::SendGossip>(
           fixture.instance.HandleEvent(Event::Tick{fixture.instance.Now()}))) {
    for (const Rumor& rumor : sent.message->rumors)
      CHECK(rumor.subject == Hash64("unrelated"));
  }
  CHECK(fixture.UsesEndpoint());
}

// Guards against keeping to oneself, in a fleet with discovery, that an answer said that its endpoint leaves.
TEST_CASE("peers are told at once that an answer says that its endpoint leaves") {
  Fixture fixture;
  fixture.ReceiveLeavingRumor("unrelated", kFirstIncarnation);
  fixture.AnswerLeaving();
  const auto sent = SingleInstance::EffectsOfType<Effect::SendGossip>(
      fixture.instance.HandleEvent(Event::Tick{fixture.instance.Now()}));
  REQUIRE_FALSE(sent.empty());
  bool told = false;
  for (const Rumor& rumor : sent[0].message->rumors)
    told = told || (rumor.subject == Hash64("e") && rumor.detail == kFirstIncarnation);
  CHECK(told);
}

}  // namespace
}  // namespace sassafras
