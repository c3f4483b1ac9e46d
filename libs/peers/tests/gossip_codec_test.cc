#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <span>
#include <string>

#include "core/gossip_message.h"
#include "peers/gossip_codec.h"

namespace sassafras {
namespace {

std::span<const std::byte> Bytes(const std::string& text) {
  return std::as_bytes(std::span(text.data(), text.size()));
}

GossipMessage FullMessage() {
  GossipMessage message;
  message.sender = {"entry-17", "zone-c", "10.11.12.13:8080", "10.11.12.13:8081", 1'700'000'000'000'000, 123'456,
                    99,         true};
  message.generation = 4'711;
  message.store_age = std::chrono::milliseconds(1'234);
  message.ask = 7;
  message.reply_to = 8;
  for (uint64_t i = 0; i < 8; ++i) {
    message.rumors.push_back({GossipMessage::Rumor::Kind::kQuarantine, ~i, i * 7'919, std::chrono::minutes(9)});
    message.loads.push_back({~i * 31, 5, std::chrono::milliseconds(60)});
  }
  message.members.assign(3, message.sender);
  for (uint32_t i = 0; i < 48; ++i)
    message.heartbeats.push_back({~i * 7'919, 1'000'000 + i});
  return message;
}

TEST_CASE("a full message survives encoding and fits into a datagram") {
  const GossipMessage message = FullMessage();
  const std::string bytes = EncodeGossip(message);
  CHECK(bytes.size() < kMaxGossipBytes);
  const auto decoded = DecodeGossip(Bytes(bytes));
  REQUIRE(decoded.ok());
  CHECK(decoded->sender.name == "entry-17");
  CHECK(decoded->sender.leaving);
  CHECK(decoded->generation == 4'711);
  CHECK(decoded->store_age == message.store_age);
  CHECK(decoded->ask == 7);
  CHECK(decoded->reply_to == 8);
  REQUIRE(decoded->rumors.size() == 8);
  CHECK(decoded->rumors[3].kind == GossipMessage::Rumor::Kind::kQuarantine);
  CHECK(decoded->rumors[3].subject == ~3ULL);
  CHECK(decoded->loads[2].in_flight == 5);
  CHECK(decoded->members[2].epoch == 99);
  REQUIRE(decoded->heartbeats.size() == 48);
  CHECK(decoded->heartbeats[47].heartbeat == 1'000'047);
}

TEST_CASE("endpoint changes survive encoding, and as many as one message carries fit into a datagram") {
  GossipMessage message;
  message.sender = FullMessage().sender;
  message.sender.store_reachable = false;
  message.endpoints_digest = ~0ULL;
  message.endpoints_as_of = 77;
  message.leaving_digest = ~0ULL - 1;
  message.relay = true;
  message.endpoints_age = std::chrono::milliseconds(250);
  for (uint64_t i = 0; i < 6; ++i) {
    EndpointChange& change = message.endpoint_changes.emplace_back();
    change.kind = EndpointChange::Kind::kLeaving;
    change.row = {"i-0123456789ab" + std::to_string(i), "service-abcdef", "10.128.10.10:18080", "ee-north-a", 6, 0};
    change.incarnation = 1'770'000'000'000 + i;
    change.revision = 4'711 + i;
    change.warmup = std::chrono::milliseconds(2'500);
  }
  const std::string bytes = EncodeGossip(message);
  CHECK(bytes.size() < kMaxGossipBytes);
  const auto decoded = DecodeGossip(Bytes(bytes));
  REQUIRE(decoded.ok());
  CHECK_FALSE(decoded->sender.store_reachable);
  CHECK(decoded->endpoints_digest == message.endpoints_digest);
  CHECK(decoded->endpoints_as_of == 77);
  CHECK(decoded->leaving_digest == message.leaving_digest);
  CHECK(decoded->relay);
  CHECK(decoded->endpoints_age == message.endpoints_age);
  REQUIRE(decoded->endpoint_changes.size() == 6);
  CHECK(decoded->endpoint_changes[5].row.address == message.endpoint_changes[5].row.address);
  CHECK(decoded->endpoint_changes[5].kind == EndpointChange::Kind::kLeaving);
  CHECK(decoded->endpoint_changes[5].revision == 4'716);
  CHECK(decoded->endpoint_changes[5].warmup == message.endpoint_changes[5].warmup);
}

// Guards against one endpoint with long texts whose datagram is not sent, or is refused whole by every peer.
TEST_CASE("the longest endpoint change that the store may hold fits into a datagram and is read") {
  GossipMessage message;
  message.sender = FullMessage().sender;
  EndpointChange& change = message.endpoint_changes.emplace_back();
  const std::string longest(192, 'x');
  change.row = {longest, longest, "255.255.255.255:65535", longest, 100'000, 0};
  change.incarnation = ~0ULL;
  change.revision = ~0ULL;
  change.warmup = std::chrono::hours(1);
  const std::string bytes = EncodeGossip(message);
  CHECK(bytes.size() < kMaxGossipBytes);
  const auto decoded = DecodeGossip(Bytes(bytes));
  REQUIRE(decoded.ok());
  CHECK(decoded->endpoint_changes.front().row.name == longest);
}

// Guards against evacuations that make datagrams too long: no peer would learn of them, or of anything else. The bounds
// are those of the store client.
TEST_CASE("the longest set of evacuated failure domains fits into a datagram beside all else") {
  for (const size_t count : {1u, 16u}) {
    GossipMessage message = FullMessage();
    message.evacuations.as_of = ~0ULL;
    message.evacuations.failure_domains.assign(count, std::string(count == 1 ? 192 : 240 / count, 'x'));
    const std::string bytes = EncodeGossip(message);
    CHECK(bytes.size() < kMaxGossipBytes);
    const auto decoded = DecodeGossip(Bytes(bytes));
    REQUIRE(decoded.ok());
    CHECK(decoded->evacuations.failure_domains == message.evacuations.failure_domains);
    GossipMessage changes;
    changes.sender = FullMessage().sender;
    changes.evacuations = message.evacuations;
    EndpointChange& change = changes.endpoint_changes.emplace_back();
    const std::string longest(192, 'y');
    change.row = {longest, longest, "255.255.255.255:65535", longest, 100'000, 0};
    change.incarnation = ~0ULL;
    change.revision = ~0ULL;
    change.warmup = std::chrono::hours(1);
    CHECK(EncodeGossip(changes).size() < kMaxGossipBytes);
  }
}

TEST_CASE("decoding a damaged datagram gives an error or a message within the limits") {
  const std::string bytes = EncodeGossip(FullMessage());
  const bool passed = rc::check("damaged", [&] {
    std::string damaged = bytes;
    const auto size = *rc::gen::inRange<size_t>(0, damaged.size() + 1);
    damaged.resize(size);
    const auto changes =
        *rc::gen::container<std::vector<std::pair<uint16_t, char>>>(rc::gen::arbitrary<std::pair<uint16_t, char>>());
    for (const auto& [at, value] : changes) {
      if (!damaged.empty())
        damaged[at % damaged.size()] = value;
    }
    const auto message = DecodeGossip(Bytes(damaged));
    if (message.ok())
      RC_ASSERT(message->rumors.size() + message->loads.size() + message->members.size() + message->heartbeats.size() <=
                128u);
  });
  CHECK(passed);
  CHECK_FALSE(DecodeGossip(Bytes(std::string(kMaxGossipBytes + 1, '\0'))).ok());
  CHECK_FALSE(DecodeGossip({}).ok());
}

}  // namespace
}  // namespace sassafras
