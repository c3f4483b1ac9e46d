#pragma once

#include "base/clock.h"
#include "base/handle.h"
#include "core/selection_rule.h"
#include "state_parts.h"

namespace sassafras {

/** Whether an attempt of the call may go to the endpoint. */
bool IsEligible(StateParts& parts, const CallState& call, EndpointHandle endpoint, TimePoint now);

/** Chooses endpoints for calls. Looks at a bounded number of candidates, however many there are. */
class Selector {
 public:
  Selector(StateParts& parts, PlanState& plan, const CallState& call, TimePoint now)
      : m_parts(parts), m_plan(plan), m_candidates(parts.CandidatesOf(call)), m_call(call), m_now(now) {}

  /** Returns the endpoint for the next attempt of the call, or an invalid handle if it has to wait. */
  EndpointHandle Choose(SelectionRule rule);

 private:
  using Rule = EndpointHandle (Selector::*)();
  struct RuleRow {
    SelectionRule rule;
    Rule choose;
  };
  static const RuleRow kRules[];

  EndpointHandle Random();
  EndpointHandle RoundRobin();
  EndpointHandle LeastInFlight();
  EndpointHandle PowerOfTwo();
  EndpointHandle PeakEwma();
  EndpointHandle HotCold();

  /** First eligible candidate at or after a position, in cyclic order. */
  EndpointHandle EligibleFrom(size_t start) const;
  EndpointHandle Sample() const;
  /** The better of `count` samples under `score`; lower is better. */
  template <typename Score>
  EndpointHandle BestOf(size_t count, Score score) const;

  /** Estimated requests at the endpoint from all instances. */
  float Occupancy(EndpointHandle endpoint) const;
  float EffectiveSlots(EndpointHandle endpoint) const;
  bool IsFull(EndpointHandle endpoint) const;
  float PeakEwmaScore(EndpointHandle endpoint) const;
  float HotColdScore(EndpointHandle endpoint) const;
  /** Latency of the endpoint relative to its service, with calls that are overdue now. */
  float RelativeLatency(EndpointHandle endpoint) const;

  StateParts& m_parts;
  PlanState& m_plan;
  const std::vector<EndpointHandle>& m_candidates;
  const CallState& m_call;
  TimePoint m_now;
};

}  // namespace sassafras
