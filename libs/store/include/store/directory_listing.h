#pragma once

#include <cstdint>
#include <vector>

#include "store/directory_entry.h"

namespace sassafras {

/** All entries of the platform's instance directory, or those that changed since a revision. */
struct DirectoryListing {
  std::vector<DirectoryEntry> entries;
  /** Store revision that the listing reflects. */
  int64_t revision = 0;
  /** Whether `entries` holds the whole directory, not only the changes since a revision. */
  bool is_snapshot = true;
};

}  // namespace sassafras
