#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "lists/lists_delta.h"

namespace sassafras {

/** Answer of a peer to a request for lists. */
struct FetchedLists {
  uint64_t generation = 0;
  /** The encoded document; empty if the peer sent a delta or has no newer generation than the one requested. */
  std::string document;
  std::optional<ListsDelta> delta;
};

}  // namespace sassafras
