#include "load_probing.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "call_end.h"
#include "dispatch.h"
#include "endpoint_learning.h"
#include "full_endpoints.h"
#include "hedge_policy.h"
#include "held_calls.h"
#include "latency_estimate.h"
#include "probe_results.h"
#include "selection.h"
#include "slot_admission.h"
#include "state_parts.h"
#include "warmup_limit.h"

namespace sassafras {
namespace {

using FloatMicros = std::chrono::duration<float, std::micro>;
using std::chrono::milliseconds;

/** Endpoints probed in the first round. */
constexpr size_t kFirstRoundProbes = 3;
/** Random draws of endpoints to probe, in each call of SendProbes(), before the candidates are searched in order. */
constexpr size_t kRandomDraws = 12;
/** Bounds of the wait for probe answers. */
constexpr milliseconds kMinProbeWait{4};
constexpr milliseconds kMaxProbeWait{60};
/** Wait for probe answers in average round trips of the probes. */
constexpr float kProbeWaitRoundTrips = 3.0F;
/**
 * A call waits for probe answers at least its expected latency divided by this, within the bounds above. Before the
 * first probe answer it waits for kMaxProbeWait.
 */
constexpr float kExpectedLatencyDivisor = 4.0F;
/** A hedge is sent only to an endpoint where it leaves at most this share of the slots in use. */
constexpr float kMaxHedgeUtilization = 0.6F;
/** Fraction of load_probes_per_endpoint_per_second that is used, and the time for which unused probes accumulate. */
constexpr double kLoadProbeBudgetFraction = 0.75;
constexpr milliseconds kLoadProbeBudgetAccumulationTime{12'000};
/** Fill level of the budget below which fewer probes are sent at a time, and how many. */
constexpr double kLowBudgetLevel = 0.25;
constexpr size_t kProbesAtLowBudget = 2;
/** An estimate up to this multiple of the expected latency is accepted without further probes. */
constexpr float kGoodEnoughFactor = 1.35F;

void SendLoadProbe(CallState& call, CallHandle handle, EndpointHandle endpoint, Effects& effects) {
  call.probed[call.probed_count] = endpoint;
  call.probed_utilizations[call.probed_count] = 0;
  call.estimates_us[call.probed_count] = kNoEstimate;
  ++call.probed_count;
  ++call.probes_outstanding;
  effects.push_back(Effect::SendProbe{endpoint, call.deadline, handle});
}

/** Takes up to `count` probes from this instance's part of the fleet's load probe budget; returns the number taken. */
size_t TakeLoadProbeBudget(StateParts& parts, size_t count, TimePoint now) {
  const auto fleet = static_cast<double>(std::max<size_t>(1, parts.members.CountServing(now)));
  size_t endpoints = 0;
  for (const ServiceState& service : parts.services)
    endpoints += service.endpoints.size();
  const double rate = parts.options.load_probes_per_endpoint_per_second * kLoadProbeBudgetFraction *
                      static_cast<double>(endpoints) / fleet;
  if (parts.load_probe_budget.FillLevel() < kLowBudgetLevel)
    count = std::min(count, kProbesAtLowBudget);
  return parts.load_probe_budget.Take(count, rate, kLoadProbeBudgetAccumulationTime, now);
}

/** Probes up to `count` more random endpoints; with `local_only`, only those in this failure domain. */
void SendProbes(StateParts& parts, CallHandle handle, size_t count, bool local_only, TimePoint now, Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  const auto& candidates = parts.CandidatesOf(call);
  // The plan may have moved to other services while the call was probing.
  if (candidates.empty())
    return;
  count = TakeLoadProbeBudget(parts, count, now);
  const size_t start = parts.random() % candidates.size();
  const size_t max_steps = kRandomDraws + candidates.size();
  for (size_t step = 0; step < max_steps && count > 0 && call.probed_count < CallState::kMaxProbed; ++step) {
    // Draws at random first, then goes through all in order to find a few eligible ones among many.
    const size_t position =
        step < kRandomDraws ? parts.random() % candidates.size() : (start + step) % candidates.size();
    const EndpointHandle endpoint = candidates[position];
    if ((local_only && !parts.At(endpoint).same_failure_domain) || WasProbed(call, endpoint))
      continue;
    if (!IsEligible(parts, call, endpoint, now))
      continue;
    SendLoadProbe(call, handle, endpoint, effects);
    --count;
  }
}

/** Sets the time at which the endpoint is chosen even if probe answers are still missing. */
void ScheduleDecision(StateParts& parts, CallState& call, TimePoint now, Effects& effects) {
  const FloatMicros usual_round_trips(parts.load_probe_rtt_us * kProbeWaitRoundTrips);
  // An endpoint chosen without answers may take several times the expected latency, so the wait grows with that
  // latency.
  const FloatMicros worth_waiting(ExpectedLatency(parts, call) / kExpectedLatencyDivisor);
  const auto preferred_wait = std::chrono::duration_cast<Duration>(std::max(usual_round_trips, worth_waiting));
  Duration wait = parts.load_probe_rtt_us > 0 ? std::clamp<Duration>(preferred_wait, kMinProbeWait, kMaxProbeWait)
                                              : Duration(kMaxProbeWait);
  wait = std::min(wait, MaxProbeWait(call));
  call.decide_at = std::min(call.deadline, now + wait);
  effects.push_back(Effect::ArmProbeWaitTimer{call.ticket, call.decide_at});
}

/**
 * Chooses an endpoint without probe answers: of those not probed, the one with the fewest attempts of this instance,
 * preferably one whose load no warm-up limits; if there is none, the first probed one.
 */
EndpointHandle FallbackEndpoint(StateParts& parts, const CallState& call, TimePoint now) {
  EndpointHandle best;
  const auto rank = [&](EndpointHandle endpoint) {
    const EndpointState& state = parts.At(endpoint);
    return std::pair(IsLimitedByWarmup(parts, state, now), state.in_flight);
  };
  const auto& candidates = parts.CandidatesOf(call);
  const size_t start = candidates.empty() ? 0 : parts.random() % candidates.size();
  for (size_t step = 0; step < candidates.size(); ++step) {
    const EndpointHandle endpoint = candidates[(start + step) % candidates.size()];
    if (!IsEligible(parts, call, endpoint, now) || WasProbed(call, endpoint))
      continue;
    if (!best.IsValid() || rank(endpoint) < rank(best))
      best = endpoint;
  }
  if (!best.IsValid() && call.probed_count > 0 && IsEligible(parts, call, call.probed[0], now))
    best = call.probed[0];
  return best;
}

bool IsAwaitingProbes(const CallState& call) {
  return call.stage == CallState::Stage::kProbing || call.probing_for_hedge;
}

/** Makes the hedge that the probes were sent for, if the endpoint has room and the deadline leaves enough time. */
void HedgeIfWorthwhile(StateParts& parts,
                       CallHandle handle,
                       EndpointHandle endpoint,
                       float estimate,
                       TimePoint now,
                       Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  call.probing_for_hedge = false;
  const bool in_time = now + FloatMicros(estimate) < call.deadline;
  if (endpoint.IsValid() && !in_time)
    return;
  const bool has_room = endpoint.IsValid() && ProbedUtilization(call, endpoint) <= kMaxHedgeUtilization;
  Hedge(parts, handle, endpoint, has_room, now, effects);
}

/** Ends probing: dispatches or hedges the call by the answers received, schedules new probes, or rejects the call. */
void FinishProbing(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  float estimate = 0;
  EndpointHandle endpoint = BestProbedEndpoint(parts, call, kNoEstimate, now, estimate);
  if (call.probing_for_hedge) {
    HedgeIfWorthwhile(parts, handle, endpoint, estimate, now, effects);
    return;
  }
  const bool has_estimate = endpoint.IsValid();
  const float expected = ExpectedLatency(parts, call);
  if (has_estimate && estimate > kGoodEnoughFactor * expected &&
      HoldForBetter(parts, handle, endpoint, estimate, now, effects))
    return;
  // At an endpoint without room the call might hang, and nobody could tell whether it ran.
  if (NeedsCertainRoom(parts, call, now) && !(has_estimate && HasCertainRoom(parts, call, endpoint))) {
    endpoint = BestEndpointWithRoom(parts, call, now);
    if (endpoint.IsValid())
      Dispatch(parts, handle, endpoint, now, effects);
    else
      EndRejected(parts, handle, Reason::kOverloaded, now, effects);
    return;
  }
  if (has_estimate && WouldWasteSlot(parts, call, endpoint, estimate, now))
    endpoint = BestProbedEndpoint(parts, call, kAllSlots, now, estimate);
  // This applies to retries after a refusal as well: with precedence they would make other calls late.
  if (has_estimate && (!endpoint.IsValid() || WouldWasteSlot(parts, call, endpoint, estimate, now))) {
    EndRejected(parts, handle, Reason::kOverloaded, now, effects);
    return;
  }
  if (has_estimate && YieldToHeldCall(parts, handle, endpoint, estimate, now, effects))
    return;
  if (!has_estimate)
    endpoint = FallbackEndpoint(parts, call, now);
  if (!endpoint.IsValid()) {
    EndRejected(parts, handle, Reason::kNoEndpoint, now, effects);
    return;
  }
  Dispatch(parts, handle, endpoint, now, effects);
}

/** Probes more endpoints, of any failure domain, unless a second round was sent already; returns whether it did. */
bool ProbeMore(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  const size_t before = call.probed_count;
  if (before > kFirstRoundProbes)
    return false;
  SendProbes(parts, handle, CallState::kMaxProbed - before, false, now, effects);
  if (call.probed_count == before)
    return false;
  // A probed_count above kFirstRoundProbes prevents a third round.
  call.probes_sent_at = now;
  ScheduleDecision(parts, call, now, effects);
  return true;
}

}  // namespace

bool StartLoadProbing(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  call.probed_count = 0;
  call.probes_outstanding = 0;
  call.probing_for_hedge = false;
  call.reprobe_pending = false;
  call.probes_sent_at = now;
  if (parts.CandidatesOf(call).empty())
    return false;
  SendProbes(parts, handle, kFirstRoundProbes, true, now, effects);
  if (call.probed_count < kFirstRoundProbes - 1)
    SendProbes(parts, handle, kFirstRoundProbes - call.probed_count, false, now, effects);
  if (call.probed_count == 0 && !FallbackEndpoint(parts, call, now).IsValid())
    return false;
  if (call.attempts_outstanding == 0)
    call.stage = CallState::Stage::kProbing;
  if (call.probed_count > 0) {
    ScheduleDecision(parts, call, now, effects);
    return true;
  }
  if (call.attempts_outstanding > 0)
    return false;
  // The probe budget is used up, so the endpoint is chosen without probes.
  FinishProbing(parts, handle, now, effects);
  return true;
}

void OnLoadProbeEnded(StateParts& parts, const Event::ProbeEnded& event, Effects& effects) {
  CallState* call = parts.calls.Find(event.call);
  if (call == nullptr || !IsAwaitingProbes(*call) || call->probes_outstanding == 0 || call->reprobe_pending)
    return;
  const auto end = call->probed.begin() + call->probed_count;
  const auto probed = std::find(call->probed.begin(), end, event.endpoint);
  if (probed == end)
    return;
  --call->probes_outstanding;
  const float expected = ExpectedLatency(parts, *call);
  float estimate = kNoEstimate;
  if (event.answered && event.load.present) {
    UpdateAverage(parts.load_probe_rtt_us, FloatMicros(event.now - call->probes_sent_at).count());
    estimate = EstimateLatency(parts, *call, event.endpoint, event.load, event.now);
    const auto index = static_cast<size_t>(probed - call->probed.begin());
    call->estimates_us[index] = estimate;
    const float utilization = UtilizationWithNextAttempt(parts.At(event.endpoint), event.load);
    call->probed_utilizations[index] = utilization;
    RecordProbedUtilization(parts.ServiceOf(*call), utilization, event.now);
  } else if (!event.answered && !event.withdrawn &&
             !HandleUnansweredProbeWhenFull(parts, event.endpoint, call->probes_sent_at, event.now)) {
    RecordFailure(parts, event.endpoint, event.now);
  }
  const bool has_room = !NeedsCertainRoom(parts, *call, event.now) || HasCertainRoom(parts, *call, event.endpoint);
  if (has_room && estimate <= kGoodEnoughFactor * expected && IsEligible(parts, *call, event.endpoint, event.now)) {
    FinishProbing(parts, event.call, event.now, effects);
    return;
  }
  if (call->probes_outstanding > 0)
    return;
  if (!ProbeMore(parts, event.call, event.now, effects))
    FinishProbing(parts, event.call, event.now, effects);
}

void OnProbeWaitExpired(StateParts& parts, const Event::ProbeWaitExpired& event, Effects& effects) {
  const CallState* call = parts.calls.Find(event.call);
  if (call == nullptr || !IsAwaitingProbes(*call) || event.now < call->decide_at)
    return;
  if (call->reprobe_pending) {
    // Without probes the endpoint would be chosen blindly, and most of them are full.
    if (parts.load_probe_budget.FillLevel() < kLowBudgetLevel) {
      EndRejected(parts, event.call, Reason::kOverloaded, event.now, effects);
      return;
    }
    if (!StartLoadProbing(parts, event.call, event.now, effects))
      EndRejected(parts, event.call, Reason::kNoEndpoint, event.now, effects);
    return;
  }
  FinishProbing(parts, event.call, event.now, effects);
}

}  // namespace sassafras
