#pragma once

#include <cstddef>
#include <string>

#include <absl/container/btree_map.h>

namespace sassafras {

/** Size of the fleet, from which follows how many instances may use an endpoint in warm-up. */
struct WarmupFleet {
  /** Largest number of serving members of each failure domain since the start. */
  absl::btree_map<std::string, size_t> largest;
  /** Whether this instance has had the chance to learn of its peers. */
  bool known = false;
};

}  // namespace sassafras
