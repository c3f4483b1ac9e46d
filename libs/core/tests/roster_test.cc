#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "core/gossip_message.h"
#include "single_instance.h"

namespace sassafras {
namespace {

using Millis = SingleInstance::Millis;

Member Peer(int number) {
  Member member;
  member.name = "peer" + std::to_string(number);
  member.failure_domain = "a";
  member.address = "127.0.0.2:" + std::to_string(number);
  member.peer_address = "127.0.0.1:" + std::to_string(number);
  member.incarnation = 1;
  return member;
}

std::vector<Member> MakePeers(int count) {
  std::vector<Member> members;
  for (int i = 1; i <= count; ++i)
    members.push_back(Peer(i));
  return members;
}

/** An instance driven by ticks every 100 ms; records its roster reads and writes and whether it watches the store. */
struct Fixture {
  void Run(Millis time) {
    for (const TimePoint end = instance.Now() + time; instance.Now() < end; instance.Advance(Millis(100)))
      Tick();
  }
  void Tick() {
    const Effects& effects = instance.HandleEvent(Event::Tick{instance.Now()});
    roster_reads += SingleInstance::EffectsOfType<Effect::ReadRoster>(effects).size();
    for (const auto& write : SingleInstance::EffectsOfType<Effect::WriteRoster>(effects))
      written_rosters.push_back(write.members);
    for (const auto& watch : SingleInstance::EffectsOfType<Effect::WatchStore>(effects))
      watching = watch.on;
  }
  void ReceiveRoster(std::vector<Member> members) {
    instance.HandleEvent(Event::RosterReceived{instance.Now(), std::move(members)});
  }
  /** Delivers a message from the peer with an advanced heartbeat. */
  void ReceiveGossip(const Member& peer) {
    GossipMessage message;
    message.sender = peer;
    message.sender.heartbeat = ++heartbeat;
    instance.HandleEvent(Event::GossipReceived{instance.Now(), message});
  }

  SingleInstance instance;
  uint32_t heartbeat = 0;
  size_t roster_reads = 0;
  bool watching = false;
  std::vector<std::vector<Member>> written_rosters;
};

TEST_CASE("an instance that starts hands out the addresses of instances on the roster at once") {
  Fixture fixture;
  fixture.Tick();
  CHECK(fixture.roster_reads == 1);
  fixture.ReceiveRoster(MakePeers(5));
  CHECK(fixture.instance.GetState().ServingMembers().size() == 6);
  fixture.Run(Millis(3'000));
  CHECK(fixture.roster_reads == 1);
}

TEST_CASE("instances on the roster that send no heartbeats are no longer handed out") {
  Fixture fixture;
  fixture.Tick();
  fixture.ReceiveRoster(MakePeers(5));
  fixture.Run(Millis(6'000));
  CHECK(fixture.instance.GetState().ServingMembers().size() == 1);
}

TEST_CASE("an instance that knows no peer keeps reading the roster, and adds itself to it") {
  Fixture fixture;
  fixture.Tick();
  fixture.ReceiveRoster({});
  fixture.Run(Millis(7'000));
  CHECK(fixture.roster_reads >= 4);
  REQUIRE_FALSE(fixture.written_rosters.empty());
  CHECK(fixture.written_rosters[0].size() == 1);
}

TEST_CASE("in a fleet whose instances start together, only seed peers write the first roster") {
  for (const bool seed : {true, false}) {
    CAPTURE(seed);
    StateOptions options;
    options.self.peer_address = "127.0.0.1:99";
    options.seed_peers = {"127.0.0.1:98", seed ? "127.0.0.1:99" : "127.0.0.1:97"};
    Fixture fixture{SingleInstance(options)};
    fixture.Tick();
    fixture.ReceiveRoster({});
    for (int step = 0; step < 31; ++step) {
      fixture.ReceiveGossip(Peer(1 + step % 8));
      fixture.Run(Millis(100));
    }
    CHECK(fixture.written_rosters.empty() != seed);
    // An instance that does not write the roster reads what others wrote.
    CHECK(fixture.roster_reads >= 2);
  }
}

TEST_CASE("a roster that is up to date is not written again") {
  Fixture fixture;
  fixture.Tick();
  fixture.ReceiveRoster({fixture.instance.GetState().Self()});
  fixture.Run(Millis(10'000));
  CHECK(fixture.written_rosters.empty());
}

TEST_CASE(
    "in a fleet whose instances start together, an instance neither watches nor writes before it can know its peers") {
  Fixture fixture;
  fixture.Tick();
  fixture.ReceiveRoster({});
  fixture.Run(Millis(1'400));
  CHECK_FALSE(fixture.watching);
  CHECK(fixture.written_rosters.empty());
}

TEST_CASE("three seconds after its start an instance watches the store even if the roster was never read") {
  Fixture fixture;
  fixture.Tick();
  fixture.Run(Millis(3'100));
  CHECK(fixture.watching);
}

TEST_CASE("an instance missing from the roster is added by exactly one of those that know it") {
  // One of the two instances ranks first and writes, whichever it is: the test runs both views.
  size_t writers = 0;
  for (const char* name : {"i0", "peer1"}) {
    SingleInstance instance(StateOptions(), name);
    Member other = Peer(1);
    if (std::string(name) == "peer1")
      other.name = "i0";
    uint32_t heartbeat = 0;
    bool wrote = false;
    instance.HandleEvent(Event::RosterReceived{instance.Now(), {other}});
    for (int step = 0; step < 60; ++step) {
      instance.Advance(Millis(100));
      GossipMessage message;
      message.sender = other;
      message.sender.heartbeat = ++heartbeat;
      instance.HandleEvent(Event::GossipReceived{instance.Now(), message});
      const Effects& effects = instance.HandleEvent(Event::Tick{instance.Now()});
      wrote = wrote || !SingleInstance::EffectsOfType<Effect::WriteRoster>(effects).empty();
    }
    writers += wrote ? 1 : 0;
  }
  CHECK(writers == 1);
}

}  // namespace
}  // namespace sassafras
