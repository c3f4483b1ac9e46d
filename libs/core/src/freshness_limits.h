#pragma once

#include <chrono>

namespace sassafras {

/**
 * Limits on the age of what an instance knows of the store; see docs/design/freshness.md.
 *
 * They divide the time within which a change that the store has accepted must be in force on every instance. Waits that
 * can follow one another never exceed that time in sum, whoever fails.
 */
struct FreshnessLimits {
  /** Longest time for which the confirmer lets the store wait for a change: what it knows is not older. */
  std::chrono::milliseconds watch_wait;
  /** Longest time between two queries of an instance to its watcher. */
  std::chrono::milliseconds query_period;
  /** Age at which the first instance of the fleet reads the store itself, and at which the last one does. */
  std::chrono::milliseconds first_read;
  std::chrono::milliseconds last_read;
};

}  // namespace sassafras
