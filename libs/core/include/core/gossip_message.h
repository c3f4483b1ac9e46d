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
  /** Greatest age that a message can state. */
  static constexpr std::chrono::milliseconds kMaxAge{1'000'000'000};

  /** A fact that must reach every instance quickly. */
  struct Rumor {
    enum class Kind : uint8_t {
      /** An incarnation of an endpoint is leaving. */
      kLeaving,
      /** An endpoint may have crashed while it ran the request. */
      kSuspect,
      /** The request crashes endpoints and is refused. */
      kQuarantine,
      /** An endpoint is back with a new incarnation after it left. */
      kReturned,
      /** The request was answered, so it does not crash endpoints. */
      kAnswered
    };
    Kind kind = Kind::kLeaving;
    /** Endpoint name hash for kLeaving and kReturned, else request fingerprint. */
    uint64_t subject = 0;
    /** Endpoint incarnation for kLeaving and kReturned, endpoint name hash for kSuspect. */
    uint64_t detail = 0;
    /** Time until the fact expires. */
    std::chrono::milliseconds lifetime{};
  };
  /** Load of one endpoint as last reported to the sender. */
  struct EndpointLoad {
    /** Hash of the endpoint's name. */
    uint64_t endpoint = 0;
    uint32_t in_flight = 0;
    std::chrono::milliseconds age{};
  };

  /** Heartbeat of a member, with a short form of its identity. */
  struct Heartbeat {
    /** Hash of the member's name and incarnation. */
    uint32_t id = 0;
    uint32_t heartbeat = 0;
  };

  /** Failure domains to which no requests may be sent, as of one revision of the store. */
  struct Evacuations {
    /** Revision of the store; see MakeStoreRevision(). 0 if nothing is known. */
    uint64_t as_of = 0;
    std::vector<std::string> failure_domains;
  };
  /** Request for tokens of one shard of an account's quota. */
  struct QuotaRequest {
    /** Chosen by the sender, repeated in the grant. */
    uint64_t id = 0;
    /** Hash of the account's name. */
    uint64_t account = 0;
    uint32_t shard = 0;
    /** Tokens wanted for calls that wait. */
    uint32_t wanted = 0;
    /** Tokens used before without a grant, by retries and hedges. */
    uint32_t owed = 0;
  };
  struct QuotaGrant {
    uint64_t id = 0;
    uint32_t granted = 0;
    /** Time until the shard is expected to have a token; zero if it granted all that was wanted. */
    std::chrono::milliseconds retry_after{};
  };

  Member sender;
  uint64_t generation = 0;
  /** Time since any instance last confirmed that the store holds no higher generation. */
  std::chrono::milliseconds store_age{};
  /** Query id; if not 0, the receiver answers at once with all its rumors and this id in `reply_to`. */
  uint64_t ask = 0;
  uint64_t reply_to = 0;
  /**
   * Whether the receiver forwards the `endpoint_changes` and `evacuations` that are new to it to the peers in its
   * failure domain.
   */
  bool relay = false;
  /** Hash over the endpoints known to the sender. */
  uint64_t endpoints_digest = 0;
  /** Revision of the store up to which the sender knows the endpoints; see MakeStoreRevision(). */
  uint64_t endpoints_as_of = 0;
  /** Hash over the kLeaving and kReturned rumors of the sender; equal if both peers hold the same ones. */
  uint64_t leaving_digest = 0;
  /** Time since any instance last confirmed the sender's endpoints with the store. */
  std::chrono::milliseconds endpoints_age{};
  /** Endpoints that have just changed. */
  std::vector<EndpointChange> endpoint_changes;
  std::vector<Rumor> rumors;
  std::vector<EndpointLoad> loads;
  /** A few other members, so that joins propagate. */
  std::vector<Member> members;
  std::vector<Heartbeat> heartbeats;
  /** Upper bound of the time since a read of the store that found the sender's lists to be the latest ones began. */
  std::chrono::milliseconds lists_confirmed_age = kMaxAge;
  Evacuations evacuations;
  std::vector<QuotaRequest> quota_requests;
  std::vector<QuotaGrant> quota_grants;
};

}  // namespace sassafras
