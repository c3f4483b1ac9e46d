#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace sassafras {

/** A change in what this instance knows of endpoints, members, requests or its own role, to be written to the log. */
struct LogRecord {
  enum class Kind : uint8_t {
    kEndpointServing,
    kEndpointLeaving,
    kEndpointGone,
    /** Temporarily out of use after failures. */
    kEndpointEjected,
    /** Temporarily out of use because the endpoint wants no requests. */
    kEndpointHeldOff,
    kMembersSilent,
    kMembersBack,
    /** A request that crashes endpoints is now refused. */
    kRequestQuarantined,
    kWatching,
    kNotWatching,
    /** Calls of a client account are rejected because of its quota, or no longer are. */
    kAccountOverQuota,
    kAccountWithinQuota,
    /** Calls with API keys are rejected: the lists were not confirmed recently enough. */
    kKeysNotConfirmed,
    kKeysConfirmed,
    /** No requests may be sent to a failure domain any more, or they may again. */
    kDomainEvacuated,
    kEvacuationEnded,
    /** Hedges of a plan were not sent because the operators' limit was used up; at most one record a minute. */
    kHedgesRefused,
    /** This instance reads the store itself, because nobody has confirmed lately what it knows. */
    kStaleRead,
  };
  Kind kind = Kind::kEndpointServing;
  /**
   * Name of an endpoint, failure domain, account or plan, of the first of several members or of this instance, the
   * fingerprint of a request, or "lists" or "endpoints".
   */
  std::string subject;
  /**
   * Revision of the store, incarnation, number of members, calls or hedges, or age in milliseconds, depending on
   * `kind`; 0 if not applicable.
   */
  uint64_t version = 0;
  /** How long the change holds; zero if indefinitely. */
  std::chrono::milliseconds lifetime{};
  /** Source of the information, such as "store", "peer" or "own calls". */
  const char* source = "";
  /** Upper bound of the time since the source confirmed the information with the store; zero if it just did. */
  std::chrono::milliseconds age{};
};

}  // namespace sassafras
