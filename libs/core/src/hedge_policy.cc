#include "hedge_policy.h"

#include <algorithm>
#include <chrono>

#include "dispatch.h"
#include "endpoint_learning.h"
#include "key_confirmation.h"
#include "load_probing.h"
#include "quota.h"
#include "selection.h"
#include "slot_admission.h"
#include "state_parts.h"

namespace sassafras {
namespace {

using std::chrono::microseconds;
using Stage = CallState::Stage;

/** Percentile of the latency of first attempts after which a hedge is due. A lower limit than 5 % raises it. */
constexpr float kHedgePercentile = 0.95F;
/** Lowest percentile to which a short latency objective may bring the hedge forward, whatever the limit. */
constexpr float kMinHedgePercentile = 0.75F;
/**
 * An attempt is late if it takes longer than the upper quartile of the usual latency by this factor. Nothing that is
 * not late is hedged: where latencies hardly differ, the first attempt would end before the hedge.
 */
constexpr float kLateQuartile = 0.75F;
constexpr double kLateFactor = 1.25;
/**
 * A service is slow as a whole if more than this share of its calls is late; less than a quarter is usual. Seven late
 * calls in a row reach it from none, by the weight of UpdateRate().
 */
constexpr float kSlowServiceShare = 0.5F;
/** Weight of samples while the service is slow as a whole: an overload of minutes must not pass for usual. */
constexpr float kSlowServiceSampleWeight = 0.1F;
/** Percentiles are read again after this many samples, because reading takes longer than adding. */
constexpr uint32_t kSamplesPerUpdate = 8;
/** Minimum time between the dispatch of a call and its hedge. */
constexpr std::chrono::milliseconds kMinHedgeDelay{1};
/** Hedges that the whole fleet may send for a service, or a plan with its own limit, before its calls earned them. */
constexpr double kFleetHedgeSlack = 20;
/** Minimum time between two log records of a plan whose hedges are refused. */
constexpr std::chrono::minutes kRefusalLogPeriod{1};
constexpr double kHedgeCost = 1.0;

double ServiceLimit(const StateParts& parts, const ServiceState& service) {
  return service.config.hedge_limit.value_or(parts.options.hedge_limit);
}

/** Hedges per call that the operators allow: those of the plan go before those of the service and the settings. */
double HedgeLimit(StateParts& parts, const CallState& call) {
  return parts.At(call.plan).config.hedge_limit.value_or(ServiceLimit(parts, parts.ServiceOf(call)));
}

HedgeAllowance& AllowanceOf(StateParts& parts, const CallState& call) {
  PlanState& plan = parts.At(call.plan);
  return plan.config.hedge_limit.has_value() ? plan.hedging.allowance : parts.ServiceOf(call).hedging.allowance;
}

/** Whether the call may be hedged at all, whatever the load and the allowance. */
bool MayHedge(StateParts& parts, const CallState& call) {
  const PlanState& plan = parts.At(call.plan);
  return parts.options.hedging && HedgeLimit(parts, call) > 0 && MayRepeat(parts, call) && call.replayable &&
         !call.answer_started && call.hedge_index == 0 && plan.hedging.delay.count() > 0 &&
         call.attempts < MaxAttempts(call) && !parts.quarantine.IsSuspect(call.fingerprint);
}

bool IsSlowAsWhole(const ServiceState& service) {
  return service.hedging.late_share > kSlowServiceShare;
}

/** Whether the service has room for attempts that are not necessary. */
bool HasRoomForHedges(const ServiceState& service, TimePoint now) {
  const bool none_wait =
      std::all_of(service.queues.begin(), service.queues.end(), [](const WaitQueue& queue) { return queue.Empty(); });
  return none_wait && !IsSlowAsWhole(service) && !AreSlotsScarce(service, now);
}

bool CanPay(StateParts& parts, const CallState& call) {
  return AllowanceOf(parts, call).CanSpend() && parts.ServiceOf(call).hedge_budget.CanSpend(kHedgeCost);
}

void CountHeldBack(StateParts& parts, const CallState& call) {
  ++parts.At(call.plan).hedging.counters.held_back;
}

void CountRefused(StateParts& parts, const CallState& call, TimePoint now) {
  PlanState& plan = parts.At(call.plan);
  PlanHedging& hedging = plan.hedging;
  ++hedging.counters.refused;
  const bool logged_before = hedging.refusals_logged_at != TimePoint();
  if (logged_before && now - hedging.refusals_logged_at < kRefusalLogPeriod)
    return;
  parts.log_records.push_back({LogRecord::Kind::kHedgesRefused,
                               plan.config.name,
                               hedging.counters.refused - hedging.logged_refusals,
                               {},
                               "hedge limit"});
  hedging.logged_refusals = hedging.counters.refused;
  hedging.refusals_logged_at = now;
}

/** Reads the percentiles that decide when a hedge is due. */
void UpdateDelays(PlanHedging& hedging, double limit) {
  const LatencyHistogram& latencies = hedging.latencies;
  const auto within_limit = static_cast<float>(1.0 - limit);
  hedging.median = latencies.Quantile(0.5F);
  hedging.late_after = std::chrono::duration_cast<microseconds>(latencies.Quantile(kLateQuartile) * kLateFactor);
  const microseconds shortest = std::max<microseconds>(hedging.late_after, kMinHedgeDelay);
  hedging.delay = std::max(shortest, latencies.Quantile(std::max(kHedgePercentile, within_limit)));
  // No earlier than the limit pays for: 1 in 10 calls is due after the 90th percentile.
  hedging.earliest_delay = std::max(shortest, latencies.Quantile(std::max(kMinHedgePercentile, within_limit)));
}

void AddSample(StateParts& parts, const CallState& call, Duration latency, TimePoint now) {
  PlanHedging& hedging = parts.At(call.plan).hedging;
  hedging.latencies.Add(latency, IsSlowAsWhole(parts.ServiceOf(call)) ? kSlowServiceSampleWeight : 1.0F, now);
  if (!hedging.latencies.HasEnough())
    return;
  if (hedging.delay.count() > 0 && hedging.samples_until_update > 0) {
    --hedging.samples_until_update;
    return;
  }
  hedging.samples_until_update = kSamplesPerUpdate - 1;
  UpdateDelays(hedging, HedgeLimit(parts, call));
}

/** Whether an attempt at the endpoint was late for its hedge, and the endpoint has answered none since. */
bool IsOverdue(const EndpointState& state) {
  return state.in_flight > 0 && state.overdue_at != TimePoint() && state.overdue_at > state.progress_at;
}

bool AreInOneDomain(const StateParts& parts, EndpointHandle a, EndpointHandle b) {
  const std::string& domain = parts.endpoints.Listing(a).failure_domain;
  return !domain.empty() && domain == parts.endpoints.Listing(b).failure_domain;
}

/** Whether another endpoint in the failure domain of the slow one is overdue too. */
bool IsDomainSuspect(StateParts& parts, const CallState& call, EndpointHandle slow) {
  const auto& candidates = parts.CandidatesOf(call);
  return std::any_of(candidates.begin(), candidates.end(), [&](EndpointHandle endpoint) {
    return endpoint != slow && IsOverdue(parts.At(endpoint)) && AreInOneDomain(parts, endpoint, slow);
  });
}

/** Chooses the endpoint of a hedge by what is known here, without probes. */
void HedgeWithoutProbes(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects) {
  const CallState& call = *parts.calls.Find(handle);
  Selector selector(parts, parts.At(call.plan), call, now);
  const EndpointHandle endpoint = selector.Choose(parts.options.selection);
  const bool has_room = endpoint.IsValid() && selector.UtilizationWithCall(endpoint) <= kNearFullUtilization;
  Hedge(parts, handle, endpoint, has_room, now, effects);
}

}  // namespace

void UpdateHedgeAllowances(StateParts& parts) {
  const double fleet = parts.FleetDivisor();
  // As many may be saved up as of the budget that hedges share with retries.
  const double most = parts.options.retry_slack / fleet / 2;
  const double grant = kFleetHedgeSlack / fleet;
  for (ServiceState& service : parts.services)
    service.hedging.allowance.Configure(ServiceLimit(parts, service), most, grant);
  for (PlanState& plan : parts.plans.All())
    plan.hedging.allowance.Configure(plan.config.hedge_limit.value_or(0), most, grant);
}

void EarnHedgeAllowance(StateParts& parts, const CallState& call) {
  AllowanceOf(parts, call).Earn();
}

TimePoint HedgeTime(StateParts& parts, const CallState& call, TimePoint now) {
  if (!MayHedge(parts, call))
    return TimePoint::max();
  const PlanHedging& hedging = parts.At(call.plan).hedging;
  // A hedge that starts later than this would usually miss the objective or the deadline.
  const TimePoint objective = call.arrived_at + call.terms.objective_latency;
  const TimePoint last_useful = std::min(objective, call.deadline) - hedging.median;
  const TimePoint due = std::max(std::min(now + hedging.delay, last_useful), now + hedging.earliest_delay);
  return due + hedging.median < call.deadline ? due : TimePoint::max();
}

void OnHedgeDue(StateParts& parts, const Event::HedgeDue& event, Effects& effects) {
  CallState* call = parts.calls.Find(event.call);
  if (call == nullptr || call->stage != Stage::kRunning || call->attempts_outstanding != 1)
    return;
  ServiceState& service = parts.ServiceOf(*call);
  const EndpointHandle slow = call->tried[call->attempts - 1u];
  parts.At(slow).overdue_at = event.now;
  if (!call->counted_late)
    UpdateRate(service.hedging.late_share, true);
  call->counted_late = true;
  // It may have come under suspicion since the attempt started.
  if (!MayHedge(parts, *call) || event.now + parts.At(call->plan).hedging.median >= call->deadline)
    return;
  if (!HasRoomForHedges(service, event.now)) {
    CountHeldBack(parts, *call);
    return;
  }
  if (!CanPay(parts, *call)) {
    CountRefused(parts, *call, event.now);
    return;
  }
  call->avoid_domain_of = IsDomainSuspect(parts, *call, slow) ? slow : EndpointHandle();
  if (!parts.options.ask_first) {
    HedgeWithoutProbes(parts, event.call, event.now, effects);
    return;
  }
  call->probing_for_hedge = StartLoadProbing(parts, event.call, event.now, effects);
  if (!call->probing_for_hedge)
    CountHeldBack(parts, *call);
}

void Hedge(StateParts& parts,
           CallHandle handle,
           EndpointHandle endpoint,
           bool has_room,
           TimePoint now,
           Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  // Probing takes time, in which room, suspicion and allowance may change.
  if (call.attempts_outstanding != 1 || !MayHedge(parts, call))
    return;
  const bool admitted = !KeyRejection(parts, call, now).has_value() && QuotaAllowsHedge(parts, call, now);
  if (!has_room || !admitted || !HasRoomForHedges(parts.ServiceOf(call), now)) {
    CountHeldBack(parts, call);
    return;
  }
  if (!CanPay(parts, call)) {
    CountRefused(parts, call, now);
    return;
  }
  AllowanceOf(parts, call).Spend();
  parts.ServiceOf(call).hedge_budget.Spend(kHedgeCost);
  PlanState& plan = parts.At(call.plan);
  ++plan.totals.hedges;
  ++plan.hedging.counters.sent;
  call.hedge_index = call.attempts;
  Dispatch(parts, handle, endpoint, now, effects);
}

bool IsBarredForHedge(const StateParts& parts, const CallState& call, EndpointHandle endpoint) {
  // Without an attempt in progress, the next one is a retry.
  return call.avoid_domain_of.IsValid() && call.attempts_outstanding > 0 &&
         AreInOneDomain(parts, endpoint, call.avoid_domain_of);
}

void LearnForHedging(StateParts& parts, CallState& call, const Event::AttemptEnded& event) {
  const bool answered = event.result == AttemptResult::kAnswered;
  PlanHedging& hedging = parts.At(call.plan).hedging;
  const bool by_hedge = call.hedge_index > 0 && event.endpoint == call.tried[call.hedge_index];
  if (answered && call.hedge_index > 0)
    ++(by_hedge ? hedging.counters.won : hedging.counters.lost);
  // An error may come much sooner than an answer.
  const bool counts = (answered && !event.failure_status) || event.result == AttemptResult::kTimedOut;
  // If the hedge answers first, the first attempt would have taken at least as long as it has run. Without such samples
  // the delay would shrink with every hedge that wins.
  const bool first_runs = by_hedge && call.hedge_index == 1 && call.attempts_outstanding > 1;
  if (!counts || !(event.endpoint == call.tried[0] || first_runs))
    return;
  const Duration latency = event.now - call.dispatched_at[0];
  if (!call.counted_late && hedging.late_after.count() > 0)
    UpdateRate(parts.ServiceOf(call).hedging.late_share, latency > hedging.late_after);
  call.counted_late = true;
  AddSample(parts, call, latency, event.now);
}

}  // namespace sassafras
