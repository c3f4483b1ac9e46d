#pragma once

#include <cstdint>
#include <string>

namespace sassafras {

/** Lists as held by a peer. */
struct FetchedLists {
  uint64_t generation = 0;
  /** The stored document, or empty if it is not above the generation asked for. */
  std::string document;
};

}  // namespace sassafras
