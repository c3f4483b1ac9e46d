#pragma once

#include <array>
#include <vector>

#include "account_fairness.h"
#include "attempt_budget.h"
#include "base/clock.h"
#include "base/handle.h"
#include "core/call_handle.h"
#include "service_hedging.h"
#include "lists/plan.h"
#include "lists/service.h"
#include "wait_queue.h"

namespace sassafras {

/** A service with its waiting calls and learned statistics. */
struct ServiceState {
  Service config;
  bool active = false;
  std::vector<EndpointHandle> endpoints;
  /** Endpoints that this instance may use for short work; shared by all plans that name no endpoints. */
  std::vector<EndpointHandle> common_candidates;
  /**
   * Calls that probed endpoints without finding a free slot and wait for one, at most kMaxHeldCalls; may hold calls
   * that wait no longer.
   */
  std::vector<CallHandle> held_calls;
  AccountFairness fairness;
  /** One queue per Work value, so that short calls never wait behind long ones. */
  std::array<WaitQueue, 2> queues;
  /** Virtual time of fair queueing: virtual finish time of the last call dispatched from a queue. */
  double virtual_time = 0;
  /** Moving average of the latency of answers over all endpoints, per Work value. */
  std::array<float, 2> latency_us{};
  ServiceHedging hedging;
  /** Budgets of extra attempts: retries use both, hedges only the hedge budget, besides their own allowance. */
  AttemptBudget retry_budget;
  AttemptBudget hedge_budget;
  /** Moving average of the factor by which attempts were slower at endpoints with few free slots. */
  float near_full_slowdown = 1.4F;
  /** Moving average of the share of probed endpoints that had no free slot, and the time of its last update. */
  float full_share = 0;
  TimePoint full_share_at{};
  /**
   * Number of times that a full endpoint left a request without an answer and was alive after it, and the time of the
   * last update. It decays with time.
   */
  float silences_when_full = 0;
  TimePoint silences_at{};
  /** Requests beyond its slots that an endpoint can queue at most, as silences have shown. */
  uint32_t queue_bound = UINT32_MAX;
  /** Moving average of the load of other instances at an endpoint, from load reports. */
  float other_instances_load = 0;

  WaitQueue& QueueFor(Work work) { return queues[static_cast<size_t>(work)]; }
  float& LatencyFor(Work work) { return latency_us[static_cast<size_t>(work)]; }
};

}  // namespace sassafras
