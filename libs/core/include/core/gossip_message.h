#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/endpoint_change.h"
#include "core/member.h"

namespace sassafras {

/** One gossip datagram between entry instances. Its size does not depend on the size of the fleet. */
struct GossipMessage {
  /** A fact that every instance should learn quickly. */
  struct Rumor {
    enum class Kind : uint8_t { kLeaving, kSuspect, kQuarantine, kReturned, kProven };
    Kind kind = Kind::kLeaving;
    /** Endpoint name hash for kLeaving and kReturned, else request fingerprint. */
    uint64_t subject = 0;
    /** Endpoint incarnation for kLeaving and kReturned, endpoint name hash for kSuspect. */
    uint64_t detail = 0;
    /** Time until the fact lapses. */
    std::chrono::milliseconds lifetime{};
  };
  /** Load of one endpoint as the sender last saw it. */
  struct EndpointLoad {
    uint64_t endpoint = 0;
    uint32_t in_flight = 0;
    std::chrono::milliseconds age{};
  };

  /** Proof that a member was alive: its identity in short and its heartbeat. */
  struct Heartbeat {
    /** Hash of the member's name and incarnation. */
    uint32_t id = 0;
    uint32_t heartbeat = 0;
  };

  Member sender;
  uint64_t generation = 0;
  /** Age of the newest proof, seen by anyone, that the store held no higher generation. */
  std::chrono::milliseconds store_age{};
  /** Not 0: the receiver shall answer at once with all it knows, repeating the number in `reply_to`. */
  uint64_t ask = 0;
  uint64_t reply_to = 0;
  /** Whether a receiver to whom the changes of endpoints are new passes them on in its failure domain. */
  bool relay = false;
  /** Hash over the endpoints that the sender knows of, and the store's revision it knows them up to. */
  uint64_t endpoints_digest = 0;
  uint64_t endpoints_as_of = 0;
  /** Hash over the incarnations that the sender knows to leave or to be back; equal where peers know the same. */
  uint64_t leaving_digest = 0;
  /** Age of the newest proof, seen by anyone, of what endpoints the store lists. */
  std::chrono::milliseconds endpoints_age{};
  /** Endpoints that changed a moment ago. */
  std::vector<EndpointChange> endpoint_changes;
  std::vector<Rumor> rumors;
  std::vector<EndpointLoad> loads;
  /** A few other members, so that joins spread. */
  std::vector<Member> members;
  std::vector<Heartbeat> heartbeats;
};

}  // namespace sassafras
