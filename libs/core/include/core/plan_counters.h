#pragma once

#include <cstdint>

namespace sassafras {

/** Counts the calls of one plan by outcome, in one time bucket or since the start of the process. */
struct PlanCounters {
  uint64_t good = 0;
  /** Answered later than the latency of the plan's objective. */
  uint64_t slow = 0;
  /** Answered with a status that counts as a failure. */
  uint64_t failed = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  /** Abandoned by the caller before the answer; counts neither for nor against the objective. */
  uint64_t cancelled = 0;
  uint64_t retries = 0;
  uint64_t hedges = 0;
};

}  // namespace sassafras
