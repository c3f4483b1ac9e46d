#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace sassafras {

/** Load that an endpoint reported with the answer to a request or probe. It may be stale or wrong. */
struct LoadReport {
  /** Whether the endpoint reported its load: `in_flight`, and what else it knows of `slots` and `slowdown`. */
  bool present = false;
  /** Whether the endpoint reported that it is going out of service; independent of `present`. */
  bool draining = false;
  /** Time for which the endpoint wants no more requests from this instance; zero if it does not say. */
  std::chrono::milliseconds hold_off{};
  /** How much longer the endpoint is in warm-up, zero if it is not; unset if it does not say. Only in probe answers. */
  std::optional<std::chrono::milliseconds> warmup_left;
  /** Whether the endpoint reported itself unhealthy; it may be wrong. */
  bool unhealthy = false;
  /** Requests that the endpoint is running or has queued. */
  uint32_t in_flight = 0;
  /** Number of requests that the endpoint runs concurrently; 0 if not reported. */
  uint32_t slots = 0;
  /** Current duration of work at the endpoint relative to its usual duration. */
  float slowdown = 1.0F;
  /**
   * Identifies the run of the endpoint's process; increases with each restart; 0 if unknown. If the endpoint does not
   * report it, the I/O layer sets the one that was known when the request was sent.
   */
  uint64_t incarnation = 0;
};

}  // namespace sassafras
