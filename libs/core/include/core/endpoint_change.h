#pragma once

#include <chrono>
#include <cstdint>

#include "lists/endpoint.h"

namespace sassafras {

/** A change to one endpoint in the platform's store. */
struct EndpointChange {
  enum class Kind : uint8_t {
    /** Accepts requests. */
    kServing,
    /** Has announced that it is shutting down. */
    kLeaving,
    /** Is no longer listed. */
    kGone,
  };
  Kind kind = Kind::kServing;
  /** Only the name is set for kGone. */
  Endpoint row;
  /** Start time of the endpoint's process, in milliseconds of wall time; 0 if not reported. */
  uint64_t incarnation = 0;
  /** Revision of the store at which the change was made; see MakeStoreRevision(). */
  uint64_t revision = 0;
  /** Remaining warm-up time after the start of the endpoint, in which it is expected to be slow. */
  std::chrono::milliseconds warmup{};
};

}  // namespace sassafras
