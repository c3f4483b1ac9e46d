#pragma once

#include <string>

#include <absl/container/flat_hash_map.h>

#include "base/clock.h"

namespace sassafras {

/** The roster, a list of instances in the platform's store that starting instances read, as last read. */
struct RosterState {
  /** Peer addresses of the instances on the roster, by name. */
  absl::flat_hash_map<std::string, std::string> peers;
  /** Whether the roster has been read since the start. */
  bool read = false;
  /** When the roster has to be read again because the store was restored; TimePoint::max() for never. */
  TimePoint rereads_at = TimePoint::max();
  TimePoint last_read{};
  TimePoint last_write{};
};

}  // namespace sassafras
