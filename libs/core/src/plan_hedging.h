#pragma once

#include <chrono>
#include <cstdint>

#include "base/clock.h"
#include "core/hedge_counters.h"
#include "hedge_allowance.h"
#include "latency_histogram.h"

namespace sassafras {

/** What a plan knows for its hedges. */
struct PlanHedging {
  /** Latency of the answers at first attempts. */
  LatencyHistogram latencies;
  /** Read from `latencies` every few samples; zero before there are enough. See HedgeTime(). */
  std::chrono::microseconds delay{};
  std::chrono::microseconds earliest_delay{};
  std::chrono::microseconds late_after{};
  std::chrono::microseconds median{};
  uint32_t samples_until_update = 0;
  /** Used if the plan sets a limit of its own; otherwise that of the service is used. */
  HedgeAllowance allowance;
  HedgeCounters counters;
  /** Refusals that were logged, and when the last log record was written. */
  uint64_t logged_refusals = 0;
  TimePoint refusals_logged_at{};
};

}  // namespace sassafras
