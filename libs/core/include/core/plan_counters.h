#pragma once

#include <cstdint>

namespace sassafras {

/** Calls of one plan by outcome, in one time bucket or since the start of the process. */
struct PlanCounters {
  uint64_t good = 0;
  /** Answered after the objective's latency. */
  uint64_t slow = 0;
  /** Answered with a failure status. */
  uint64_t failed = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  /** The caller went away first; counts neither as good nor as bad. */
  uint64_t cancelled = 0;
  uint64_t retries = 0;
  uint64_t hedges = 0;
};

}  // namespace sassafras
