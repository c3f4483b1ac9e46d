#pragma once

#include <string>

#include <absl/container/flat_hash_map.h>

#include "base/clock.h"

namespace sassafras {

/** What this instance knows of the roster in the platform's store. */
struct RosterState {
  /** Address for peers of each instance on it, by name. */
  absl::flat_hash_map<std::string, std::string> peers;
  bool read = false;
  TimePoint last_read{};
  TimePoint last_write{};
};

}  // namespace sassafras
