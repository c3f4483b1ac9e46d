#pragma once

#include <cstddef>
#include <span>
#include <string>

#include <absl/status/statusor.h>

namespace sassafras {

struct GossipMessage;

/** Largest gossip datagram, in bytes; longer ones are neither sent nor accepted. */
constexpr size_t kMaxGossipBytes = 1'400;

/** Serializes a message as packed Cap'n Proto. */
std::string EncodeGossip(const GossipMessage& message);

/** Parses an untrusted datagram; limits what it can make the decoder allocate. */
absl::StatusOr<GossipMessage> DecodeGossip(std::span<const std::byte> datagram);

}  // namespace sassafras
