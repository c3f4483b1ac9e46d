#pragma once

#include <cstdint>

namespace sassafras {

/** Load as an endpoint reported it with an answer or a probe answer; may be stale or wrong. */
struct LoadReport {
  /** Whether the endpoint reported anything. */
  bool present = false;
  /** Whether the endpoint said that it is leaving. */
  bool draining = false;
  /** Requests in the endpoint's slots and its own queue. */
  uint32_t in_flight = 0;
  /** Start of the endpoint's process; higher for each restart; 0 if unknown. */
  uint64_t incarnation = 0;
};

}  // namespace sassafras
