#pragma once

#include <memory>
#include <vector>

#include "base/clock.h"
#include "base/handle.h"
#include "core/plan_counters.h"
#include "plan_hedging.h"
#include "lists/plan.h"
#include "outcome_history.h"
#include "plan_branch.h"

namespace sassafras {

/** A plan with the statistics of its calls. */
struct PlanState {
  Plan config;
  bool active = false;
  /** One branch per service of the plan; empty only while the plan is inactive. */
  std::vector<PlanBranch> branches;
  uint32_t next_round_robin = 0;
  PlanHedging hedging;
  /** Time that callers usually allow: the greatest one stated, which declines slowly if callers state less. */
  Duration usual_caller_wait{};
  /** Virtual finish time of the last queued call, for fair queueing between plans of the same priority. */
  double virtual_finish = 0;
  PlanCounters totals;
  /** Null until the first call is counted: it is large, and most plans of large lists have few calls. */
  std::unique_ptr<OutcomeHistory> history;
};

/** Whether calls of the plan may use the candidates that most plans of a service share. */
inline bool HasCommonCandidates(const Plan& plan) {
  return plan.endpoints.empty() && plan.work == Work::kShort;
}

}  // namespace sassafras
