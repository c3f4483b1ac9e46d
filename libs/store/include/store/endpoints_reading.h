#pragma once

#include <cstdint>
#include <vector>

#include "core/endpoint_change.h"

namespace sassafras {

/** Endpoints that the platform's store lists, or what changed in them. */
struct EndpointsReading {
  /** Revision of the store up to which the reading speaks. */
  uint64_t as_of = 0;
  /** Whether endpoints that are not here are gone. */
  bool whole = false;
  std::vector<EndpointChange> changes;
};

}  // namespace sassafras
