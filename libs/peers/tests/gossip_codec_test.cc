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

TEST_CASE("a full message survives and fits a datagram") {
  const GossipMessage message = FullMessage();
  const std::string bytes = EncodeGossip(message);
  CHECK(bytes.size() < kMaxGossipBytes);
  const auto again = DecodeGossip(Bytes(bytes));
  REQUIRE(again.ok());
  CHECK(again->sender.name == "entry-17");
  CHECK(again->sender.leaving);
  CHECK(again->generation == 4'711);
  CHECK(again->store_age == message.store_age);
  CHECK(again->ask == 7);
  CHECK(again->reply_to == 8);
  REQUIRE(again->rumors.size() == 8);
  CHECK(again->rumors[3].kind == GossipMessage::Rumor::Kind::kQuarantine);
  CHECK(again->rumors[3].subject == ~3ULL);
  CHECK(again->loads[2].in_flight == 5);
  CHECK(again->members[2].epoch == 99);
  REQUIRE(again->heartbeats.size() == 48);
  CHECK(again->heartbeats[47].heartbeat == 1'000'047);
}

TEST_CASE("changes of endpoints survive, and as many as one message carries fit a datagram") {
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
  const auto again = DecodeGossip(Bytes(bytes));
  REQUIRE(again.ok());
  CHECK_FALSE(again->sender.store_reachable);
  CHECK(again->endpoints_digest == message.endpoints_digest);
  CHECK(again->endpoints_as_of == 77);
  CHECK(again->leaving_digest == message.leaving_digest);
  CHECK(again->relay);
  CHECK(again->endpoints_age == message.endpoints_age);
  REQUIRE(again->endpoint_changes.size() == 6);
  CHECK(again->endpoint_changes[5].row.address == message.endpoint_changes[5].row.address);
  CHECK(again->endpoint_changes[5].kind == EndpointChange::Kind::kLeaving);
  CHECK(again->endpoint_changes[5].revision == 4'716);
  CHECK(again->endpoint_changes[5].warmup == message.endpoint_changes[5].warmup);
}

TEST_CASE("damaged datagrams give an error or a message, and nothing else") {
  const std::string bytes = EncodeGossip(FullMessage());
  const bool held = rc::check("damaged", [&] {
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
  CHECK(held);
  CHECK_FALSE(DecodeGossip(Bytes(std::string(kMaxGossipBytes + 1, '\0'))).ok());
  CHECK_FALSE(DecodeGossip({}).ok());
}

}  // namespace
}  // namespace sassafras
