#pragma once

#include "base/clock.h"
#include "base/handle.h"
#include "core/selection_rule.h"
#include "state_parts.h"

namespace sassafras {

/** Whether an attempt of the call may go to the endpoint. */
bool IsEligible(StateParts& parts, const CallState& call, EndpointHandle endpoint, TimePoint now);

/**
 * Chooses the endpoint for an attempt of a call by one of the selection rules. Rules that draw samples compare a
 * bounded number of candidates, however many there are.
 */
class Selector {
 public:
  Selector(StateParts& parts, PlanState& plan, const CallState& call, TimePoint now)
      : m_parts(parts), m_plan(plan), m_candidates(parts.CandidatesOf(call)), m_call(call), m_now(now) {}

  /** Returns the endpoint for the next attempt of the call, or an invalid handle if the call has to wait. */
  EndpointHandle Choose(SelectionRule rule);
  /** Estimates the share of the endpoint's slots in use with one more call. */
  float UtilizationWithCall(EndpointHandle endpoint) const;

 private:
  using ChooseMethod = EndpointHandle (Selector::*)();
  struct RuleEntry {
    SelectionRule rule;
    ChooseMethod choose;
  };
  static const RuleEntry kRules[];

  EndpointHandle Random();
  EndpointHandle RoundRobin();
  EndpointHandle LeastInFlight();
  EndpointHandle PowerOfTwo();
  EndpointHandle PeakEwma();
  EndpointHandle HotCold();

  /** Returns the first eligible candidate at or after position `start`, in cyclic order. */
  EndpointHandle FirstEligibleFrom(size_t start) const;
  /** Returns a random eligible candidate. */
  EndpointHandle Sample() const;
  /** Returns the one of `count` samples with the lowest `score`. */
  template <typename Score>
  EndpointHandle BestOf(size_t count, Score score) const;

  /** Estimates the number of requests at the endpoint from all instances. */
  float EstimatedOccupancy(EndpointHandle endpoint) const;
  /** Returns the endpoint's slots, reduced while it is ramped up. */
  float EffectiveSlots(EndpointHandle endpoint) const;
  bool IsFull(EndpointHandle endpoint) const;
  float PeakEwmaScore(EndpointHandle endpoint) const;
  float HotColdScore(EndpointHandle endpoint) const;
  /** Returns the latency of the endpoint relative to its service, taking overdue calls into account. */
  float LatencyRatio(EndpointHandle endpoint) const;

  StateParts& m_parts;
  PlanState& m_plan;
  const std::vector<EndpointHandle>& m_candidates;
  const CallState& m_call;
  TimePoint m_now;
};

}  // namespace sassafras
