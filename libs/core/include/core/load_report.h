#pragma once

#include <cstdint>

namespace sassafras {

/** Load as an endpoint reported it with an answer or a probe answer; may be stale or wrong. */
struct LoadReport {
  /** Whether the endpoint reported anything. */
  bool present = false;
  /** Whether the endpoint said that it is leaving. */
  bool draining = false;
  /** Whether the endpoint called itself unhealthy; it may be wrong. */
  bool unhealthy = false;
  /** Requests in the endpoint's slots and its own queue. */
  uint32_t in_flight = 0;
  /** Slots as the endpoint reports them; 0 if it does not. */
  uint32_t slots = 0;
  /** Time that work takes there at this moment, relative to the usual. */
  float slowdown = 1.0F;
  /** Start of the endpoint's process; higher for each restart; 0 if unknown. */
  uint64_t incarnation = 0;
};

}  // namespace sassafras
