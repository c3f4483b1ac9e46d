#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <string>

#include "core/gossip_message.h"
#include "core/store_revision.h"
#include "single_instance.h"

namespace sassafras {
namespace {

using Millis = SingleInstance::Millis;
using Kind = EndpointChange::Kind;

EndpointChange MakeGoneChange(const std::string& name, uint64_t revision) {
  EndpointChange change;
  change.kind = Kind::kGone;
  change.row.name = name;
  change.revision = revision;
  return change;
}

EndpointChange MakeLeavingChange(const std::string& name, uint64_t revision) {
  EndpointChange change = SingleInstance::MakeChange(name, revision);
  change.row.address = SingleInstance::MakeChange(name, 10).row.address;
  change.kind = Kind::kLeaving;
  return change;
}

/** An instance that knows one endpoint, "e", as of revision 10. */
struct Fixture {
  Fixture() {
    instance.ReceiveLists(1, SingleInstance::MakeLists("s"));
    instance.ReceiveEndpoints({SingleInstance::MakeChange("e", 10)}, true, 10);
  }
  /** Sends a call; returns whether it was accepted rather than rejected at once. */
  bool AcceptsCall() { return SingleInstance::EffectsOfType<Effect::Reject>(instance.ReceiveCall()).empty(); }
  void ReportStoreRead(bool ok) { instance.HandleEvent(Event::StoreReadEnded{instance.Now(), ok}); }
  void Tick() { instance.HandleEvent(Event::Tick{instance.Now()}); }
  /** Delivers a message from peer "i1" at generation 1. */
  void ReceiveGossip(GossipMessage message) {
    message.sender.name = "i1";
    message.sender.incarnation = 1;
    message.sender.peer_address = "127.0.0.1:9";
    message.generation = 1;
    instance.HandleEvent(Event::GossipReceived{instance.Now(), std::move(message)});
  }

  /** Delivers one message from each of `count` peers; `reaches_store` says whether they can reach the store. */
  void ReceiveGossipFromPeers(int count, uint32_t heartbeat, bool reaches_store) {
    for (int i = 1; i <= count; ++i) {
      GossipMessage message;
      message.sender.name = "peer" + std::to_string(i);
      message.sender.incarnation = 1;
      message.sender.heartbeat = heartbeat;
      message.sender.peer_address = "127.0.0.1:" + std::to_string(i);
      message.sender.failure_domain = "a";
      message.sender.store_reachable = reaches_store;
      instance.HandleEvent(Event::GossipReceived{instance.Now(), message});
    }
  }

  SingleInstance instance;
};

TEST_CASE("an instance accepts calls only when it has lists and endpoints") {
  SingleInstance instance;
  CHECK(instance.GetState().CurrentPhase() == Phase::kStarting);
  instance.ReceiveLists(1, SingleInstance::MakeLists("s"));
  CHECK(instance.GetState().CurrentPhase() == Phase::kStarting);
  instance.ReceiveEndpoints({}, true, 10);
  CHECK(instance.GetState().CurrentPhase() == Phase::kServing);
}

TEST_CASE("an endpoint that is leaving or no longer listed gets no calls") {
  Fixture leaving;
  CHECK(leaving.AcceptsCall());
  leaving.instance.ReceiveEndpoints({MakeLeavingChange("e", 11)}, false, 11);
  CHECK_FALSE(leaving.AcceptsCall());
  Fixture gone;
  gone.instance.ReceiveEndpoints({MakeGoneChange("e", 11)}, false, 11);
  CHECK_FALSE(gone.AcceptsCall());
  Fixture missing;
  missing.instance.ReceiveEndpoints({}, true, 11);
  CHECK_FALSE(missing.AcceptsCall());
}

TEST_CASE("endpoints whose entries expired while the store was unavailable stay in use for two seconds") {
  Fixture fixture;
  fixture.ReportStoreRead(false);
  fixture.instance.Advance(Millis(5'000));
  fixture.ReportStoreRead(true);
  fixture.instance.ReceiveEndpoints({MakeGoneChange("e", 11)}, false, 11);
  CHECK(fixture.AcceptsCall());
  fixture.instance.Advance(Millis(1'900));
  fixture.Tick();
  CHECK(fixture.AcceptsCall());
  fixture.instance.Advance(Millis(200));
  fixture.Tick();
  CHECK_FALSE(fixture.AcceptsCall());
}

TEST_CASE("while an expired entry is kept, the revision announced to peers stays where it was") {
  Fixture fixture;
  fixture.ReportStoreRead(false);
  fixture.ReportStoreRead(true);
  fixture.instance.ReceiveEndpoints({}, true, 20);
  fixture.Tick();
  // The listing at revision 20 does not tell when the entry was removed; at revision 10 it still existed.
  CHECK(fixture.instance.GetState().EndpointsAsOf() == 10);
  fixture.instance.Advance(Millis(2'100));
  fixture.Tick();
  CHECK(fixture.instance.GetState().EndpointsAsOf() == 20);
  CHECK(fixture.instance.GetState().KnownEndpoints().empty());
}

TEST_CASE("an entry that is written back within two seconds is kept") {
  Fixture fixture;
  fixture.ReportStoreRead(false);
  fixture.ReportStoreRead(true);
  fixture.instance.ReceiveEndpoints({MakeGoneChange("e", 11)}, false, 11);
  EndpointChange back = SingleInstance::MakeChange("e", 12);
  back.row.address = SingleInstance::MakeChange("e", 10).row.address;
  fixture.instance.ReceiveEndpoints({back}, false, 12);
  fixture.instance.Advance(Millis(3'000));
  fixture.Tick();
  CHECK(fixture.AcceptsCall());
}

TEST_CASE("changes that arrive out of order are applied by their revision in the store") {
  Fixture fixture;
  fixture.instance.ReceiveEndpoints({MakeLeavingChange("e", 12)}, false, 12);
  GossipMessage late_message;
  late_message.endpoint_changes = {SingleInstance::MakeChange("e", 11)};
  fixture.ReceiveGossip(late_message);
  CHECK_FALSE(fixture.AcceptsCall());
}

TEST_CASE("a leaving endpoint that restarts under its name is used again") {
  Fixture fixture;
  fixture.instance.ReceiveEndpoints({MakeLeavingChange("e", 11)}, false, 11);
  EndpointChange restarted = SingleInstance::MakeChange("e", 12);
  restarted.incarnation = 2;
  fixture.instance.ReceiveEndpoints({restarted}, false, 12);
  CHECK(fixture.AcceptsCall());
}

TEST_CASE("state changes of endpoints and members are noted for the log, with revision and source") {
  Fixture fixture;
  Event::EndpointsReceived event{fixture.instance.Now(), 11, false, {MakeLeavingChange("e", 11)}};
  const auto notes = SingleInstance::EffectsOfType<Effect::WriteLogRecord>(fixture.instance.HandleEvent(event));
  REQUIRE(notes.size() == 1);
  CHECK(notes[0].record.kind == LogRecord::Kind::kEndpointLeaving);
  CHECK(notes[0].record.subject == "e");
  CHECK(notes[0].record.version == 11);
  CHECK(std::string(notes[0].record.source) == "store");
  fixture.ReceiveGossipFromPeers(3, 1, true);
  fixture.instance.Advance(Millis(7'000));
  bool silent = false;
  for (const auto& effect : SingleInstance::EffectsOfType<Effect::WriteLogRecord>(
           fixture.instance.HandleEvent(Event::Tick{fixture.instance.Now()})))
    silent = silent || (effect.record.kind == LogRecord::Kind::kMembersSilent && effect.record.version == 3);
  CHECK(silent);
}

TEST_CASE("a change of an endpoint to leaving is gossiped to every peer at once") {
  Fixture fixture;
  fixture.ReceiveGossip(GossipMessage());
  Event::EndpointsReceived event{fixture.instance.Now(), 11, false, {MakeLeavingChange("e", 11)}};
  const auto sent = SingleInstance::EffectsOfType<Effect::SendGossip>(fixture.instance.HandleEvent(event));
  REQUIRE(sent.size() == 1);
  REQUIRE(sent[0].message->endpoint_changes.size() == 1);
  CHECK(sent[0].message->endpoint_changes[0].kind == Kind::kLeaving);
}

TEST_CASE("an instance that cannot reach the store tells all peers, and another one watches the store instead") {
  Fixture fixture;
  // After 5.1 s the instance no longer waits to learn of peers; it watches the store, since its peers do not reach it.
  fixture.instance.Advance(Millis(5'100));
  fixture.ReceiveGossipFromPeers(2, 1, false);
  const Effects& effects = fixture.instance.HandleEvent(Event::StoreReadEnded{fixture.instance.Now(), false});
  CHECK(SingleInstance::EffectsOfType<Effect::SendGossip>(effects).size() == 2);
  fixture.ReportStoreRead(true);
  fixture.ReceiveGossipFromPeers(12, 1, true);
  fixture.Tick();
  fixture.instance.Advance(Millis(1'100));
  bool watches = false;
  for (const auto& effect : SingleInstance::EffectsOfType<Effect::WatchStore>(
           fixture.instance.HandleEvent(Event::Tick{fixture.instance.Now()})))
    watches = effect.on;
  // No peer reaches the store: this instance watches at once, whatever its rank.
  fixture.ReceiveGossipFromPeers(12, 2, false);
  for (const auto& effect : SingleInstance::EffectsOfType<Effect::WatchStore>(
           fixture.instance.HandleEvent(Event::Tick{fixture.instance.Now()})))
    watches = effect.on;
  CHECK(watches);
}

TEST_CASE("a first message from an unknown instance is answered, so that it knows a peer") {
  Fixture fixture;
  GossipMessage message;
  message.sender.name = "new";
  message.sender.incarnation = 1;
  message.sender.peer_address = "127.0.0.1:8";
  const Event::GossipReceived event{fixture.instance.Now(), message};
  const auto first = SingleInstance::EffectsOfType<Effect::SendGossip>(fixture.instance.HandleEvent(event));
  REQUIRE_FALSE(first.empty());
  CHECK(first[0].peer_address == "127.0.0.1:8");
  CHECK(first[0].message->sender.name == "i0");
}

TEST_CASE(
    "a peer with an older generation of the lists is sent the number of the newer one, even if no other instance "
    "knows that peer") {
  Fixture fixture;
  fixture.ReceiveGossip(GossipMessage());
  fixture.instance.Advance(Millis(500));
  fixture.instance.ReceiveLists(5, SingleInstance::MakeLists("s"));
  GossipMessage message;
  message.sender.name = "i1";
  message.sender.incarnation = 1;
  message.sender.peer_address = "127.0.0.1:9";
  message.generation = 1;
  message.endpoints_digest = fixture.instance.GetState().EndpointsAsOf();
  const auto sent = SingleInstance::EffectsOfType<Effect::SendGossip>(
      fixture.instance.HandleEvent(Event::GossipReceived{fixture.instance.Now(), message}));
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].peer_address == "127.0.0.1:9");
  CHECK(sent[0].message->generation == 5);
}

TEST_CASE("outdated gossip, as from a peer that was paused, does not bring back an endpoint that is gone") {
  Fixture fixture;
  fixture.instance.ReceiveEndpoints({}, true, 30);
  GossipMessage late_message;
  late_message.endpoint_changes = {SingleInstance::MakeChange("e", 20)};
  fixture.ReceiveGossip(late_message);
  CHECK(fixture.instance.GetState().KnownEndpoints().empty());
  late_message.endpoint_changes = {SingleInstance::MakeChange("new", 31)};
  fixture.ReceiveGossip(late_message);
  CHECK(fixture.instance.GetState().KnownEndpoints().size() == 1);
}

/** Revision of a store that has been restored `era` - 1 times. */
constexpr uint64_t At(uint64_t era, uint64_t number) {
  return MakeStoreRevision(era, number);
}

EndpointChange MakeListed(uint64_t revision, uint64_t incarnation) {
  EndpointChange change = SingleInstance::MakeChange("e", 10);
  change.revision = revision;
  change.incarnation = incarnation;
  return change;
}

// Guards against changes that are taken for old ones because a restored store counts its revisions from a lower number.
TEST_CASE("after a restore of the store, changes with lower revision numbers are applied") {
  Fixture fixture;
  fixture.instance.ReceiveEndpoints({MakeListed(At(1, 90), 1)}, true, At(1, 95));
  fixture.instance.ReceiveEndpoints({MakeListed(At(2, 20), 1)}, true, At(2, 60));
  fixture.instance.Advance(Millis(2'100));
  EndpointChange leaving = MakeListed(At(2, 61), 1);
  leaving.kind = Kind::kLeaving;
  fixture.instance.ReceiveEndpoints({leaving}, false, At(2, 61));
  CHECK_FALSE(fixture.AcceptsCall());
}

// Guards against calls to an endpoint that is leaving, because a restored store lists its entry from before that.
TEST_CASE("an endpoint that is leaving is not used again because a restored store lists it as serving") {
  Fixture fixture;
  EndpointChange leaving = MakeListed(At(1, 90), 1);
  leaving.kind = Kind::kLeaving;
  fixture.instance.ReceiveEndpoints({leaving}, true, At(1, 95));
  fixture.instance.ReceiveEndpoints({MakeListed(At(2, 20), 1)}, true, At(2, 60));
  CHECK_FALSE(fixture.AcceptsCall());
  fixture.instance.Advance(Millis(7'000));
  fixture.instance.ReceiveEndpoints({MakeListed(At(2, 20), 1)}, true, At(2, 70));
  CHECK_FALSE(fixture.AcceptsCall());
  // A new process of the endpoint is used.
  fixture.instance.ReceiveEndpoints({MakeListed(At(2, 71), 2)}, false, At(2, 71));
  CHECK(fixture.AcceptsCall());
}

// Guards against calls to an endpoint that has ended, because a restored store still lists it.
TEST_CASE("an endpoint that is gone is not used again because a restored store lists it, but if it writes again") {
  Fixture fixture;
  fixture.instance.ReceiveEndpoints({MakeListed(At(1, 90), 1)}, true, At(1, 95));
  fixture.instance.ReceiveEndpoints({MakeGoneChange("e", At(1, 96))}, false, At(1, 96));
  fixture.instance.ReceiveEndpoints({MakeListed(At(2, 20), 1)}, true, At(2, 60));
  CHECK_FALSE(fixture.AcceptsCall());
  fixture.instance.ReceiveEndpoints({MakeListed(At(2, 61), 1)}, false, At(2, 61));
  CHECK(fixture.AcceptsCall());
}

// Guards against an endpoint that started lately and is dropped because the copy is older than its entry.
TEST_CASE("an endpoint that a restored store does not list stays in use until it had time to register again") {
  Fixture fixture;
  fixture.instance.ReceiveEndpoints({MakeListed(At(1, 90), 1)}, true, At(1, 95));
  fixture.instance.ReceiveEndpoints({}, true, At(2, 60));
  CHECK(fixture.AcceptsCall());
  fixture.instance.Advance(Millis(2'100));
  fixture.Tick();
  CHECK_FALSE(fixture.AcceptsCall());
}

// Guards against an endpoint that stays out of use because the listing after a restore was lost or refused.
TEST_CASE("after a restore all endpoints are read again until a listing has arrived") {
  Fixture fixture;
  fixture.instance.ReceiveEndpoints({MakeListed(At(1, 90), 1)}, true, At(1, 95));
  fixture.instance.ReceiveEndpoints({MakeGoneChange("e", At(1, 96))}, false, At(1, 96));
  fixture.instance.ReceiveEndpoints({MakeListed(At(2, 20), 1)}, true, At(2, 60));
  const auto reads_whole = [&] {
    fixture.instance.Advance(Millis(1'000));
    bool whole = false;
    for (const auto& read : SingleInstance::EffectsOfType<Effect::ReadEndpoints>(
             fixture.instance.HandleEvent(Event::Tick{fixture.instance.Now()})))
      whole = whole || read.whole;
    return whole;
  };
  fixture.instance.Advance(Millis(5'100));
  CHECK(reads_whole());
  // The answer was lost.
  CHECK(reads_whole());
  fixture.instance.ReceiveEndpoints({MakeListed(At(2, 20), 1)}, true, At(2, 70));
  CHECK(fixture.AcceptsCall());
  CHECK_FALSE(reads_whole());
}

// Guards against peers that drop an endpoint for good: this instance does not use its entry yet, and says it is
// complete.
TEST_CASE("while a listed endpoint is not used, the revision announced to peers stays below its entry") {
  Fixture fixture;
  fixture.instance.ReceiveEndpoints({MakeListed(At(1, 90), 1)}, true, At(1, 95));
  fixture.instance.ReceiveEndpoints({MakeGoneChange("e", At(1, 96))}, false, At(1, 96));
  fixture.instance.ReceiveEndpoints({MakeListed(At(2, 20), 1)}, true, At(2, 60));
  CHECK(fixture.instance.GetState().EndpointsAsOf() == At(2, 19));
  fixture.instance.ReceiveEndpoints({MakeListed(At(2, 61), 1)}, false, At(2, 61));
  CHECK(fixture.instance.GetState().EndpointsAsOf() == At(2, 61));
}

// Guards against an order that only compares eras: a read that may lag names none.
TEST_CASE("changes from before a read that may lag are not applied, although it names no era") {
  Fixture fixture;
  EndpointChange leaving = MakeLeavingChange("e", 90);
  leaving.incarnation = 0;
  fixture.instance.ReceiveEndpoints({leaving}, true, 95);
  GossipMessage late_message;
  late_message.endpoint_changes = {MakeListed(At(1, 85), 0)};
  fixture.ReceiveGossip(late_message);
  CHECK_FALSE(fixture.AcceptsCall());
}

// Guards against an endpoint that stays in use: its removal is listed by a peer whose read may lag and names no era.
TEST_CASE("a later listing that names no era removes an endpoint") {
  Fixture fixture;
  fixture.instance.ReceiveEndpoints({MakeListed(At(1, 120), 1)}, false, At(1, 120));
  fixture.instance.ReceiveEndpoints({}, true, 200);
  CHECK_FALSE(fixture.AcceptsCall());
}

// Guards against a peer that reads the old history and undoes what this instance has read after the restore.
TEST_CASE("gossip from before a restore does not undo what was read after it") {
  Fixture fixture;
  fixture.instance.ReceiveEndpoints({MakeListed(At(1, 90), 1)}, true, At(1, 95));
  EndpointChange leaving = MakeListed(At(2, 20), 2);
  leaving.kind = Kind::kLeaving;
  fixture.instance.ReceiveEndpoints({leaving}, true, At(2, 60));
  GossipMessage late_message;
  late_message.endpoint_changes = {MakeListed(At(1, 99), 1)};
  fixture.ReceiveGossip(late_message);
  CHECK_FALSE(fixture.AcceptsCall());
}

TEST_CASE("an instance whose endpoints keep differing from those of a peer reads all of them from the store") {
  Fixture fixture;
  GossipMessage message;
  message.endpoints_digest = 4'711;
  message.endpoints_as_of = 20;
  bool read = false;
  for (int i = 0; i < 8; ++i) {
    fixture.instance.Advance(Millis(300));
    fixture.ReceiveGossip(message);
    const Effects& effects = fixture.instance.HandleEvent(Event::Tick{fixture.instance.Now()});
    for (const auto& effect : SingleInstance::EffectsOfType<Effect::ReadEndpoints>(effects))
      read = read || effect.whole;
  }
  CHECK(read);
}

GossipMessage MessageFrom(const std::string& peer, uint64_t heartbeat) {
  GossipMessage message;
  message.sender.name = peer;
  message.sender.peer_address = peer;
  message.sender.failure_domain = "a";
  message.sender.incarnation = 1;
  message.sender.heartbeat = heartbeat;
  message.generation = 1;
  return message;
}

uint64_t DigestSentBy(SingleInstance& instance) {
  Event::GossipReceived event;
  event.now = instance.Now();
  event.message = MessageFrom("unknown", 1);
  const auto sent = SingleInstance::EffectsOfType<Effect::SendGossip>(instance.HandleEvent(event));
  REQUIRE_FALSE(sent.empty());
  return sent[0].message->endpoints_digest;
}

// Guards against missing a change for as long as peers that missed it too keep confirming the old endpoints.
TEST_CASE("an instance whose peers have missed a change as well reads the endpoints from the one that has it") {
  SingleInstance instance;
  instance.ReceiveLists(1, SingleInstance::MakeLists("s"));
  instance.ReceiveEndpoints({SingleInstance::MakeChange("e", 10)}, true, 10);
  const uint64_t old_digest = DigestSentBy(instance);
  // The change is 200 ms old; a peer that has it sends a message every 250 ms, one that has not does so in between.
  bool reads = false;
  uint64_t heartbeat = 1;
  for (Millis elapsed{0}; elapsed < Millis(1'500) && !reads; elapsed += Millis(125)) {
    instance.Advance(Millis(125));
    ++heartbeat;
    const bool newer = (elapsed.count() / 125) % 2 == 0;
    Event::GossipReceived event;
    event.now = instance.Now();
    event.message = MessageFrom(newer ? "newer" : "behind", heartbeat);
    event.message.endpoints_as_of = newer ? 11 : 10;
    event.message.endpoints_digest = newer ? old_digest + 1 : old_digest;
    event.message.endpoints_age = newer ? Millis(50) : elapsed + Millis(400);
    instance.HandleEvent(event);
    for (const auto& read :
         SingleInstance::EffectsOfType<Effect::ReadEndpoints>(instance.HandleEvent(Event::Tick{instance.Now()})))
      reads = reads || (read.whole && read.peer_address == "newer");
  }
  CHECK(reads);
}

// Guards against datagrams that are too long to be sent because one of the endpoints in them has long texts.
TEST_CASE("changes with long texts are spread over several datagrams") {
  Fixture fixture;
  fixture.ReceiveGossip({});
  std::vector<EndpointChange> changes;
  for (int i = 0; i < 6; ++i)
    changes.push_back(SingleInstance::MakeChange("e" + std::to_string(i), 11 + static_cast<uint64_t>(i)));
  changes[2].row.failure_domain = std::string(192, 'x');
  changes[3].row.name = std::string(192, 'y');
  changes[4].row.failure_domain = std::string(192, 'z');
  changes[4].row.name = std::string(192, 'z');
  Event::EndpointsReceived event{fixture.instance.Now(), 20, false, changes};
  size_t sent_changes = 0;
  for (const auto& sent : SingleInstance::EffectsOfType<Effect::SendGossip>(fixture.instance.HandleEvent(event))) {
    size_t bytes = 0;
    for (const EndpointChange& change : sent.message->endpoint_changes)
      bytes += change.row.name.size() + change.row.failure_domain.size();
    CHECK(bytes <= 600);
    sent_changes += sent.message->endpoint_changes.size();
  }
  CHECK(sent_changes == changes.size());
}

/** Reads of the store in ten seconds by an instance whose reads are answered at once, with the next of `changes`. */
int CountReads(const std::function<EndpointChange(uint64_t revision)>& next_change) {
  Fixture fixture;
  fixture.instance.Advance(Millis(3'100));
  int reads = 0;
  uint64_t revision = 11;
  for (int step = 0; step < 1'000; ++step) {
    fixture.instance.Advance(Millis(10));
    const Effects& effects = fixture.instance.HandleEvent(Event::Tick{fixture.instance.Now()});
    if (SingleInstance::EffectsOfType<Effect::ReadEndpoints>(effects).empty())
      continue;
    ++reads;
    fixture.instance.ReceiveEndpoints({next_change(revision)}, false, revision);
    ++revision;
  }
  return reads;
}

// Load pattern: hundreds of endpoints write heartbeats, so that a read which waits for a change ends at once. Guards
// against calls to the store that grow with the number of endpoints.
TEST_CASE("reads that bring heartbeats alone are made less often than those that bring changes") {
  const auto heartbeat = [](uint64_t revision) {
    EndpointChange change = SingleInstance::MakeChange("e", 10);
    change.revision = revision;
    return change;
  };
  const auto joining = [](uint64_t revision) {
    return SingleInstance::MakeChange("e" + std::to_string(revision), revision);
  };
  CHECK(CountReads(heartbeat) <= 34);
  CHECK(CountReads(joining) >= 60);
}

}  // namespace
}  // namespace sassafras
