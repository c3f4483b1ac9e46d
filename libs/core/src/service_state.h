#pragma once

#include <array>
#include <vector>

#include "base/clock.h"
#include "base/handle.h"
#include "lists/plan.h"
#include "lists/service.h"
#include "attempt_budget.h"
#include "wait_queue.h"

namespace sassafras {

/** One service with its waiting calls. */
struct ServiceState {
  Service config;
  bool active = false;
  std::vector<EndpointHandle> endpoints;
  /** One queue for each Work, so that short calls never wait behind long ones. */
  std::array<WaitQueue, 2> queues;
  /** Virtual time of fair queueing: finish time of the last call served. */
  double virtual_time = 0;
  /** Moving average of answer latency over all endpoints, for each Work. */
  std::array<float, 2> latency_us{};
  /** Extra attempts that may be made; retries draw on both, hedges only on their own. */
  AttemptBudget retry_budget;
  AttemptBudget hedge_budget;
  /** How much slower attempts were at endpoints with few free slots, as a moving average of ratios. */
  float near_full_slowdown = 1.4F;
  /** Moving average of other instances' load in one endpoint's report. */
  float other_instances_load = 0;

  WaitQueue& QueueFor(Work work) { return queues[static_cast<size_t>(work)]; }
  float& LatencyFor(Work work) { return latency_us[static_cast<size_t>(work)]; }
};

}  // namespace sassafras
