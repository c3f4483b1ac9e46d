#pragma once

#include <cstdint>

namespace sassafras {

/** Counts the hedges of one plan since the start of the process. */
struct HedgeCounters {
  uint64_t sent = 0;
  /** Calls that the hedge answered. */
  uint64_t won = 0;
  /** Calls that the earlier attempt answered, so that the hedge was cancelled or had failed. */
  uint64_t lost = 0;
  /** Not sent because the operators' limit or the budget of extra attempts was used up. */
  uint64_t refused = 0;
  /** Not sent because room was short, or because no endpoint outside the suspect failure domain had room. */
  uint64_t held_back = 0;
};

}  // namespace sassafras
