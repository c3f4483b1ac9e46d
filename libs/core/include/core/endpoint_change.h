#pragma once

#include <chrono>
#include <cstdint>

#include "lists/endpoint.h"

namespace sassafras {

/** What the platform's store says of one endpoint since an earlier revision. */
struct EndpointChange {
  enum class Kind : uint8_t {
    /** Takes work. */
    kServing,
    /** Has announced that it leaves. */
    kLeaving,
    /** Is no longer listed. */
    kGone,
  };
  Kind kind = Kind::kServing;
  /** Only the name is set for kGone. */
  Endpoint row;
  /** Start of the endpoint's process in milliseconds of wall time; 0 if it does not tell. */
  uint64_t incarnation = 0;
  /** Revision of the store at which this became so. */
  uint64_t revision = 0;
  /** How much longer the endpoint is slow after its start. */
  std::chrono::milliseconds warmup{};
};

}  // namespace sassafras
