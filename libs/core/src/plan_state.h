#pragma once

#include <memory>
#include <vector>

#include "base/handle.h"
#include "burn_ring.h"
#include "core/plan_counters.h"
#include "lists/plan.h"
#include "token_bucket.h"

namespace sassafras {

/** One plan with what was learned of its calls. */
struct PlanState {
  /** Tokens earned for each call; an extra attempt costs one. */
  static constexpr double kRetryEarn = 0.1;
  static constexpr double kHedgeEarn = 0.1;
  static constexpr double kBucketLimit = 10.0;

  Plan row;
  bool active = false;
  ServiceHandle service;
  /** Endpoints of this instance's subset that the plan may use. */
  std::vector<EndpointHandle> candidates;
  uint32_t next_round_robin = 0;
  TokenBucket retry_budget{kRetryEarn, kBucketLimit};
  TokenBucket hedge_budget{kHedgeEarn, kBucketLimit};
  /** Running estimate of the 95th percentile of answer latency; 0 before the first answer. */
  float p95_us = 0;
  /** Virtual finish time for fair queueing between plans of one priority. */
  double virtual_finish = 0;
  PlanCounters totals;
  /** Held apart: it is cold and large. */
  std::unique_ptr<BurnRing> ring;
};

}  // namespace sassafras
