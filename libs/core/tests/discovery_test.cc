#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "core/gossip_message.h"
#include "single_instance.h"

namespace sassafras {
namespace {

using Millis = SingleInstance::Millis;
using Kind = EndpointChange::Kind;

EndpointChange Gone(const std::string& name, uint64_t revision) {
  EndpointChange change;
  change.kind = Kind::kGone;
  change.row.name = name;
  change.revision = revision;
  return change;
}

EndpointChange Leaving(const std::string& name, uint64_t revision) {
  EndpointChange change = SingleInstance::Change(name, revision);
  change.row.address = SingleInstance::Change(name, 10).row.address;
  change.kind = Kind::kLeaving;
  return change;
}

/** An instance that knows the single endpoint "e" as of revision 10. */
struct Fixture {
  Fixture() {
    instance.TakeLists(1, SingleInstance::ListsFor("s"));
    instance.TakeEndpoints({SingleInstance::Change("e", 10)}, true, 10);
  }
  /** Whether a call is taken up rather than refused at once. */
  bool Serves() { return SingleInstance::Of<Effect::Reject>(instance.Call()).empty(); }
  void StoreAnswers(bool ok) { instance.Post(Event::StoreReadEnded{instance.Now(), ok}); }
  void Tick() { instance.Post(Event::Tick{instance.Now()}); }
  void TellOfPeer(GossipMessage message) {
    message.sender.name = "i1";
    message.sender.incarnation = 1;
    message.sender.peer_address = "127.0.0.1:9";
    message.generation = 1;
    instance.Post(Event::GossipReceived{instance.Now(), std::move(message)});
  }

  /** Peers tell of themselves, and whether they reach the store. */
  void HearPeers(int count, uint32_t heartbeat, bool reaching) {
    for (int i = 1; i <= count; ++i) {
      GossipMessage message;
      message.sender.name = "peer" + std::to_string(i);
      message.sender.incarnation = 1;
      message.sender.heartbeat = heartbeat;
      message.sender.peer_address = "127.0.0.1:" + std::to_string(i);
      message.sender.failure_domain = "a";
      message.sender.store_reachable = reaching;
      instance.Post(Event::GossipReceived{instance.Now(), message});
    }
  }

  SingleInstance instance;
};

TEST_CASE("an instance takes calls only when it knows lists and endpoints") {
  SingleInstance instance;
  CHECK(instance.GetState().CurrentPhase() == Phase::kStarting);
  instance.TakeLists(1, SingleInstance::ListsFor("s"));
  CHECK(instance.GetState().CurrentPhase() == Phase::kStarting);
  instance.TakeEndpoints({}, true, 10);
  CHECK(instance.GetState().CurrentPhase() == Phase::kServing);
}

TEST_CASE("an endpoint that leaves or is no longer listed gets no call") {
  Fixture leaving;
  CHECK(leaving.Serves());
  leaving.instance.TakeEndpoints({Leaving("e", 11)}, false, 11);
  CHECK_FALSE(leaving.Serves());
  Fixture gone;
  gone.instance.TakeEndpoints({Gone("e", 11)}, false, 11);
  CHECK_FALSE(gone.Serves());
  Fixture missing;
  missing.instance.TakeEndpoints({}, true, 11);
  CHECK_FALSE(missing.Serves());
}

TEST_CASE("entries that lapsed while the store was away have two seconds to come back") {
  Fixture fixture;
  fixture.StoreAnswers(false);
  fixture.instance.Advance(Millis(5'000));
  fixture.StoreAnswers(true);
  fixture.instance.TakeEndpoints({Gone("e", 11)}, false, 11);
  CHECK(fixture.Serves());
  fixture.instance.Advance(Millis(1'900));
  fixture.Tick();
  CHECK(fixture.Serves());
  fixture.instance.Advance(Millis(200));
  fixture.Tick();
  CHECK_FALSE(fixture.Serves());
}

TEST_CASE("while an entry is kept that the store has dropped, no more is promised to peers than is known") {
  Fixture fixture;
  fixture.StoreAnswers(false);
  fixture.StoreAnswers(true);
  fixture.instance.TakeEndpoints({}, true, 20);
  fixture.Tick();
  // The whole listing at 20 does not tell when the entry went; at 10 it was there.
  CHECK(fixture.instance.GetState().EndpointsAsOf() == 10);
  fixture.instance.Advance(Millis(2'100));
  fixture.Tick();
  CHECK(fixture.instance.GetState().EndpointsAsOf() == 20);
  CHECK(fixture.instance.GetState().KnownEndpoints().empty());
}

TEST_CASE("an entry that is back within two seconds is kept") {
  Fixture fixture;
  fixture.StoreAnswers(false);
  fixture.StoreAnswers(true);
  fixture.instance.TakeEndpoints({Gone("e", 11)}, false, 11);
  EndpointChange back = SingleInstance::Change("e", 12);
  back.row.address = SingleInstance::Change("e", 10).row.address;
  fixture.instance.TakeEndpoints({back}, false, 12);
  fixture.instance.Advance(Millis(3'000));
  fixture.Tick();
  CHECK(fixture.Serves());
}

TEST_CASE("the store's order decides between news that arrive in another order") {
  Fixture fixture;
  fixture.instance.TakeEndpoints({Leaving("e", 12)}, false, 12);
  GossipMessage late;
  late.endpoint_changes = {SingleInstance::Change("e", 11)};
  fixture.TellOfPeer(late);
  CHECK_FALSE(fixture.Serves());
}

TEST_CASE("an endpoint that starts again under its name is used again") {
  Fixture fixture;
  fixture.instance.TakeEndpoints({Leaving("e", 11)}, false, 11);
  EndpointChange restarted = SingleInstance::Change("e", 12);
  restarted.incarnation = 2;
  fixture.instance.TakeEndpoints({restarted}, false, 12);
  CHECK(fixture.Serves());
}

TEST_CASE("what changes an instance's belief is noted for the log, with its version and source") {
  Fixture fixture;
  Event::EndpointsReceived event{fixture.instance.Now(), 11, false, {Leaving("e", 11)}};
  const auto notes = SingleInstance::Of<Effect::WriteLogRecord>(fixture.instance.Post(event));
  REQUIRE(notes.size() == 1);
  CHECK(notes[0].record.kind == LogRecord::Kind::kEndpointLeaving);
  CHECK(notes[0].record.subject == "e");
  CHECK(notes[0].record.version == 11);
  CHECK(std::string(notes[0].record.source) == "store");
  fixture.HearPeers(3, 1, true);
  fixture.instance.Advance(Millis(7'000));
  bool silent = false;
  for (const auto& effect :
       SingleInstance::Of<Effect::WriteLogRecord>(fixture.instance.Post(Event::Tick{fixture.instance.Now()})))
    silent = silent || (effect.record.kind == LogRecord::Kind::kMembersSilent && effect.record.version == 3);
  CHECK(silent);
}

TEST_CASE("word of a leaving endpoint is passed on to every peer at once") {
  Fixture fixture;
  fixture.TellOfPeer(GossipMessage());
  Event::EndpointsReceived event{fixture.instance.Now(), 11, false, {Leaving("e", 11)}};
  const auto sent = SingleInstance::Of<Effect::SendGossip>(fixture.instance.Post(event));
  REQUIRE(sent.size() == 1);
  REQUIRE(sent[0].message->endpoint_changes.size() == 1);
  CHECK(sent[0].message->endpoint_changes[0].kind == Kind::kLeaving);
}

TEST_CASE("an instance that the store turns away tells all peers, and another one watches in its place") {
  Fixture fixture;
  // Time to hear of the others has passed; of three instances each one reads the store for all.
  fixture.instance.Advance(Millis(5'100));
  fixture.HearPeers(2, 1, true);
  const Effects& told = fixture.instance.Post(Event::StoreReadEnded{fixture.instance.Now(), false});
  CHECK(SingleInstance::Of<Effect::SendGossip>(told).size() == 2);
  fixture.StoreAnswers(true);
  fixture.HearPeers(12, 1, true);
  fixture.Tick();
  fixture.instance.Advance(Millis(1'100));
  bool watches = false;
  for (const auto& effect :
       SingleInstance::Of<Effect::WatchStore>(fixture.instance.Post(Event::Tick{fixture.instance.Now()})))
    watches = effect.on;
  // All peers are turned away: whatever its place in the order, this instance watches at once.
  fixture.HearPeers(12, 2, false);
  for (const auto& effect :
       SingleInstance::Of<Effect::WatchStore>(fixture.instance.Post(Event::Tick{fixture.instance.Now()})))
    watches = effect.on;
  CHECK(watches);
}

TEST_CASE("an instance that is heard of for the first time is answered, so that it knows somebody") {
  Fixture fixture;
  GossipMessage message;
  message.sender.name = "new";
  message.sender.incarnation = 1;
  message.sender.peer_address = "127.0.0.1:8";
  const Event::GossipReceived event{fixture.instance.Now(), message};
  const auto first = SingleInstance::Of<Effect::SendGossip>(fixture.instance.Post(event));
  REQUIRE_FALSE(first.empty());
  CHECK(first[0].peer_address == "127.0.0.1:8");
  CHECK(first[0].message->sender.name == "i0");
}

TEST_CASE("a peer that holds older lists is told, even if nobody else knows it") {
  Fixture fixture;
  fixture.TellOfPeer(GossipMessage());
  fixture.instance.Advance(Millis(500));
  fixture.instance.TakeLists(5, SingleInstance::ListsFor("s"));
  GossipMessage message;
  message.sender.name = "i1";
  message.sender.incarnation = 1;
  message.sender.peer_address = "127.0.0.1:9";
  message.generation = 1;
  message.endpoints_digest = fixture.instance.GetState().EndpointsAsOf();
  const auto sent = SingleInstance::Of<Effect::SendGossip>(
      fixture.instance.Post(Event::GossipReceived{fixture.instance.Now(), message}));
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].peer_address == "127.0.0.1:9");
  CHECK(sent[0].message->generation == 5);
}

TEST_CASE("old news, as a frozen peer passes it on when it wakes, brings no endpoint back that is gone") {
  Fixture fixture;
  fixture.instance.TakeEndpoints({}, true, 30);
  GossipMessage late;
  late.endpoint_changes = {SingleInstance::Change("e", 20)};
  fixture.TellOfPeer(late);
  CHECK(fixture.instance.GetState().KnownEndpoints().empty());
  late.endpoint_changes = {SingleInstance::Change("new", 31)};
  fixture.TellOfPeer(late);
  CHECK(fixture.instance.GetState().KnownEndpoints().size() == 1);
}

TEST_CASE("an instance that missed news reads the store when a peer keeps knowing other endpoints") {
  Fixture fixture;
  GossipMessage message;
  message.endpoints_digest = 4'711;
  message.endpoints_as_of = 20;
  bool read = false;
  for (int i = 0; i < 8; ++i) {
    fixture.instance.Advance(Millis(300));
    fixture.TellOfPeer(message);
    const Effects& effects = fixture.instance.Post(Event::Tick{fixture.instance.Now()});
    for (const auto& effect : SingleInstance::Of<Effect::ReadEndpoints>(effects))
      read = read || effect.whole;
  }
  CHECK(read);
}

}  // namespace
}  // namespace sassafras
