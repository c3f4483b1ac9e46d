#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace sassafras {

/** Something that this instance has come to believe, for its log. */
struct Note {
  enum class Kind : uint8_t {
    kEndpointServing,
    kEndpointLeaving,
    kEndpointGone,
    /** Not used for a while after failures. */
    kEndpointEjected,
    kMembersSilent,
    kMembersBack,
    /** A request that crashes endpoints is refused from now on. */
    kRequestQuarantined,
    kWatching,
    kNotWatching,
  };
  Kind kind = Kind::kEndpointServing;
  /** Name of an endpoint or of the first member, or a request's fingerprint. */
  std::string subject;
  /** Revision of the store, incarnation, number of members, or 0: whatever orders the facts of this kind. */
  uint64_t version = 0;
  /** How long the fact holds; zero if until further notice. */
  std::chrono::milliseconds lifetime{};
  /** Where the knowledge comes from: "store", "peer", "own calls". */
  const char* source = "";
};

}  // namespace sassafras
