#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "lists/lists_delta.h"

namespace sassafras {

/** What a peer answered to a request for lists. */
struct FetchedLists {
  uint64_t generation = 0;
  /** The stored document; empty if a delta was sent or nothing is above the generation asked for. */
  std::string document;
  std::optional<ListsDelta> delta;
};

}  // namespace sassafras
