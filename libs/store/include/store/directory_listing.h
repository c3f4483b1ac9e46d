#pragma once

#include <cstdint>
#include <vector>

#include "store/directory_entry.h"

namespace sassafras {

/** The platform's list of instances, or what changed in it. */
struct DirectoryListing {
  std::vector<DirectoryEntry> entries;
  /** Revision up to which the listing speaks. */
  int64_t revision = 0;
  /** Whether all entries are there, not only those changed since a revision. */
  bool whole = true;
};

}  // namespace sassafras
