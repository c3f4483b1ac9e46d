#pragma once

#include <cstdint>
#include <vector>

#include "core/endpoint_change.h"

namespace sassafras {

/** All endpoints in the platform's store, or those that changed since a revision. */
struct EndpointsUpdate {
  /** Store revision that the update reflects. */
  uint64_t as_of = 0;
  /** Whether `changes` holds all endpoints, so that any other endpoint no longer exists. */
  bool is_snapshot = false;
  std::vector<EndpointChange> changes;
};

}  // namespace sassafras
