#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>

#include "core/gossip_message.h"
#include "single_instance.h"

namespace sassafras {
namespace {

using Millis = SingleInstance::Millis;

constexpr int kPeersPerDomain = 6;

/** An instance of failure domain "a" that knows peers of the domains "a", "b" and "c". */
struct Fixture {
  Fixture() {
    instance.ReceiveLists(1, SingleInstance::MakeLists("s"));
    instance.ReceiveEndpoints({SingleInstance::MakeChange("e", 10)}, true, 10);
    ReceiveHeartbeats(1);
  }

  void ReceiveHeartbeats(uint32_t heartbeat) {
    for (const std::string domain : {"a", "b", "c"}) {
      for (int i = 0; i < kPeersPerDomain; ++i) {
        GossipMessage message = MessageFrom(domain, i);
        message.sender.heartbeat = heartbeat;
        Receive(std::move(message));
      }
    }
  }

  static GossipMessage MessageFrom(const std::string& domain, int number) {
    GossipMessage message;
    message.sender.name = domain + std::to_string(number);
    message.sender.incarnation = 1;
    message.sender.heartbeat = 1;
    message.sender.failure_domain = domain;
    message.sender.peer_address = message.sender.name;
    message.generation = 1;
    return message;
  }

  const Effects& Receive(GossipMessage message) {
    return instance.HandleEvent(Event::GossipReceived{instance.Now(), std::move(message)});
  }

  SingleInstance instance;
};

/** Addresses of failure domain `domain` to which `effects` send the news that `name` leaves. */
std::set<std::string> ToldOfLeaving(const Effects& effects, const std::string& name, char domain) {
  const auto says_so = [&](const Member& member) { return member.name == name && member.leaving; };
  std::set<std::string> told;
  for (const auto& sent : SingleInstance::EffectsOfType<Effect::SendGossip>(effects)) {
    const auto& members = sent.message->members;
    if (sent.peer_address.front() == domain &&
        (says_so(sent.message->sender) || std::any_of(members.begin(), members.end(), says_so)))
      told.insert(sent.peer_address);
  }
  return told;
}

// Guards against peers that never hear that an instance leaves, and name it to callers after it has gone.
TEST_CASE(
    "an instance that stops tells its failure domain at once and the others through relays, and once more at its end") {
  Fixture fixture;
  const Effects& stop = fixture.instance.HandleEvent(Event::StopRequested{fixture.instance.Now()});
  CHECK(ToldOfLeaving(stop, "i0", 'a').size() == kPeersPerDomain);
  CHECK(ToldOfLeaving(stop, "i0", 'b').size() >= 2);
  CHECK(ToldOfLeaving(stop, "i0", 'c').size() >= 2);
  bool closed = false;
  for (uint32_t heartbeat = 2; !closed; ++heartbeat) {
    fixture.instance.Advance(Millis(100));
    fixture.ReceiveHeartbeats(heartbeat);
    const Effects& tick = fixture.instance.HandleEvent(Event::Tick{fixture.instance.Now()});
    closed = !SingleInstance::EffectsOfType<Effect::CloseListeners>(tick).empty();
    if (closed)
      CHECK(ToldOfLeaving(tick, "i0", 'a').size() == kPeersPerDomain);
  }
}

// Guards against news that end at the relay, or that the relays send to each other without end.
TEST_CASE("a relay passes the news that a member leaves on to its failure domain, once") {
  Fixture fixture;
  GossipMessage message = Fixture::MessageFrom("b", 3);
  message.sender.leaving = true;
  message.relay = true;
  CHECK(ToldOfLeaving(fixture.Receive(message), "b3", 'a').size() == kPeersPerDomain);
  CHECK(ToldOfLeaving(fixture.Receive(message), "b3", 'a').empty());
}

// Guards against relays that are gone or about to go: their failure domain would hear nothing.
TEST_CASE("members that leave are relays only where there are too few others") {
  Fixture fixture;
  for (int i = 0; i < kPeersPerDomain - 2; ++i) {
    GossipMessage message = Fixture::MessageFrom("b", i);
    message.sender.leaving = true;
    fixture.Receive(message);
  }
  for (int i = 0; i < kPeersPerDomain; ++i) {
    GossipMessage message = Fixture::MessageFrom("c", i);
    message.sender.leaving = true;
    fixture.Receive(message);
  }
  const EndpointChange change = SingleInstance::MakeChange("f", 11);
  Event::EndpointsReceived event{fixture.instance.Now(), 11, false, {change}};
  std::set<std::string> relays;
  for (const auto& sent : SingleInstance::EffectsOfType<Effect::SendGossip>(fixture.instance.HandleEvent(event))) {
    if (sent.message->relay)
      relays.insert(sent.peer_address);
  }
  CHECK(relays.contains("b4"));
  CHECK(relays.contains("b5"));
  // Two of "b", and two of "c" although all of them leave.
  CHECK(relays.size() == 4);
}

}  // namespace
}  // namespace sassafras
