#include "load_probing.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <limits>

#include "call_end.h"
#include "dispatch.h"
#include "endpoint_learning.h"
#include "selection.h"
#include "state_parts.h"

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
/**
 * The objective latency of the plan divided by this is the maximum wait for probe answers, and the maximum age of a
 * call that probes again.
 */
constexpr int kObjectiveLatencyDivisor = 8;
/** Delay before a call whose estimates were all too high probes again. */
constexpr milliseconds kReprobeDelay{12};
/**
 * A call is sent to a full endpoint only if by its estimate it ends within this fraction of the objective latency,
 * counted from its arrival.
 */
constexpr float kMaxObjectiveFractionWhenFull = 0.75F;
/** A hedge is sent only to an endpoint where it leaves at most this share of the slots in use. */
constexpr float kMaxHedgeUtilization = 0.6F;
/** Fraction of load_probes_per_endpoint_per_second that is used, and the time for which unused probes accumulate. */
constexpr double kLoadProbeBudgetFraction = 0.75;
constexpr milliseconds kLoadProbeBudgetAccumulationTime{12'000};
/** Fill level of the budget below which fewer probes are sent at a time, and how many. */
constexpr double kLowBudgetLevel = 0.25;
constexpr size_t kProbesAtLowBudget = 2;
/** Minimum fill level of the budget at which calls may probe more than once. */
constexpr double kReprobeBudgetLevel = 0.5;
/** Relative latency up to which an endpoint does not count as slow. */
constexpr float kSlowRelativeLatency = 1.3F;
/** Factor on the estimates of endpoints in another failure domain: they have to be this much faster to be chosen. */
constexpr float kRemoteLatencyFactor = 1.1F;
/** An estimate up to this multiple of the expected latency is accepted without further probes. */
constexpr float kGoodEnoughFactor = 1.35F;
/** Factor by which the failure rate of an endpoint raises its estimate. */
constexpr float kFailureWeight = 8.0F;
/** Expected latency of a service before its first answer. */
constexpr float kInitialLatencyUs = 100'000.0F;
constexpr float kWarmupSlowdown = 2.0F;
constexpr float kUnhealthySlowdown = 5.0F;
/** Utilization of an endpoint whose slots are all in use and that has no queue. */
constexpr float kAllSlots = 1.0F;
/** Share of probed endpoints without a free slot above which free slots of the service are scarce. */
constexpr float kScarceFullShare = 0.5F;
constexpr float kNoEstimate = std::numeric_limits<float>::infinity();

float ExpectedLatency(StateParts& parts, const CallState& call) {
  const float latency = parts.ServiceOf(call).LatencyFor(parts.At(call.plan).config.work);
  return latency > 0 ? latency : kInitialLatencyUs;
}

/** Returns how much slower than its service the endpoint was lately, beyond the slowdown it reported itself. */
float LearnedSlowdown(const EndpointState& state, TimePoint now) {
  return std::max(1.0F, RelativeLatencyAt(state, now) / kSlowRelativeLatency);
}

/** Returns the number of requests at the endpoint: those it reported and those that this instance sent since. */
float ReportedOccupancy(const EndpointState& state, const LoadReport& load) {
  const uint32_t since =
      state.in_flight > state.own_in_flight_at_report ? state.in_flight - state.own_in_flight_at_report : 0;
  return static_cast<float>(load.in_flight + since);
}

float SlotCount(const EndpointState& state, const LoadReport& load) {
  return static_cast<float>(std::max(1u, load.slots > 0 ? load.slots : state.slots));
}

/** Factor by which an endpoint has to be faster than others to be chosen over them. */
float AversionFactor(const EndpointState& state) {
  const float failures = 1.0F + kFailureWeight * state.failure_rate;
  return state.same_failure_domain ? failures : failures * kRemoteLatencyFactor;
}

/**
 * Estimates how long an attempt at the endpoint would take, in microseconds, from the load it just reported; multiplied
 * by its AversionFactor().
 */
float EstimateLatency(StateParts& parts,
                      const CallState& call,
                      EndpointHandle endpoint,
                      const LoadReport& load,
                      TimePoint now) {
  const EndpointState& state = parts.At(endpoint);
  const ServiceState& service = parts.ServiceOf(call);
  const float slots = SlotCount(state, load);
  const float occupied = ReportedOccupancy(state, load) + 1.0F;
  const float queued = std::max(0.0F, occupied - slots) / slots;
  float slowdown = std::max(load.slowdown, 0.1F) * LearnedSlowdown(state, now);
  if (occupied > kNearFullUtilization * slots)
    slowdown *= std::max(1.0F, service.near_full_slowdown);
  if (now < state.warmup_until)
    slowdown *= kWarmupSlowdown;
  if (load.unhealthy)
    slowdown *= kUnhealthySlowdown;
  return ExpectedLatency(parts, call) * slowdown * (1.0F + queued) * AversionFactor(state);
}

bool WasProbed(const CallState& call, EndpointHandle endpoint) {
  const auto end = call.probed.begin() + call.probed_count;
  return std::find(call.probed.begin(), end, endpoint) != end;
}

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
  wait = std::min<Duration>(wait, parts.At(call.plan).config.objective_latency / kObjectiveLatencyDivisor);
  call.decide_at = std::min(call.deadline, now + wait);
  effects.push_back(Effect::ArmProbeWaitTimer{call.ticket, call.decide_at});
}

/**
 * Returns the eligible endpoint with the lowest estimate among those with at most `max_utilization`; invalid if there
 * is none that answered.
 */
EndpointHandle BestProbedEndpoint(StateParts& parts,
                                  const CallState& call,
                                  float max_utilization,
                                  TimePoint now,
                                  float& estimate) {
  EndpointHandle best;
  estimate = kNoEstimate;
  for (size_t i = 0; i < call.probed_count; ++i) {
    const bool has_room = call.probed_utilizations[i] <= max_utilization;
    if (has_room && call.estimates_us[i] < estimate && IsEligible(parts, call, call.probed[i], now)) {
      best = call.probed[i];
      estimate = call.estimates_us[i];
    }
  }
  return best;
}

/**
 * Chooses an endpoint without probe answers: of those not probed, the one with the fewest attempts of this instance; if
 * there is none, the first probed one.
 */
EndpointHandle FallbackEndpoint(StateParts& parts, const CallState& call, TimePoint now) {
  EndpointHandle best;
  const auto& candidates = parts.CandidatesOf(call);
  const size_t start = candidates.empty() ? 0 : parts.random() % candidates.size();
  for (size_t step = 0; step < candidates.size(); ++step) {
    const EndpointHandle endpoint = candidates[(start + step) % candidates.size()];
    if (!IsEligible(parts, call, endpoint, now) || WasProbed(call, endpoint))
      continue;
    if (!best.IsValid() || parts.At(endpoint).in_flight < parts.At(best).in_flight)
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
  if (endpoint.IsValid() && in_time && call.attempts_outstanding == 1 &&
      ProbedUtilization(call, endpoint) <= kMaxHedgeUtilization)
    Hedge(parts, handle, endpoint, now, effects);
}

/** Returns the longest estimate, in microseconds, at which the call may still take a slot of a full endpoint. */
float MaxAcceptableLatency(StateParts& parts, const CallState& call, TimePoint now) {
  const float left = FloatMicros(call.deadline - now).count();
  const float objective = FloatMicros(parts.At(call.plan).config.objective_latency).count();
  // The objective counts from the caller's first try. A caller that comes back after a rejection has missed it, and a
  // slot given to it would make another caller miss it too.
  const float elapsed = FloatMicros(now - call.arrived_at + call.spent_before).count();
  return std::min(left, kMaxObjectiveFractionWhenFull * objective - elapsed);
}

/** Returns the share of probed endpoints without a free slot. It halves with time, so that a crest is soon forgotten.
 */
float FullShareAt(const ServiceState& service, TimePoint now) {
  constexpr std::chrono::duration<float> kHalfLife{0.3F};
  const std::chrono::duration<float> age = now - service.full_share_at;
  return service.full_share * std::exp2(-(age / kHalfLife));
}

/**
 * Whether the call should be rejected rather than sent to the endpoint, because it would end too late there and its
 * slot is needed by calls that end in time. `estimate` is the one by which the endpoint was chosen.
 */
bool WouldWasteSlot(StateParts& parts, const CallState& call, EndpointHandle endpoint, float estimate, TimePoint now) {
  // An endpoint that fails often is a bad choice, but its answers take no longer.
  const float latency = estimate / AversionFactor(parts.At(endpoint));
  const bool scarce =
      ProbedUtilization(call, endpoint) > kAllSlots || FullShareAt(parts.ServiceOf(call), now) > kScarceFullShare;
  return scarce && latency > MaxAcceptableLatency(parts, call, now);
}

/** Whether the call waits for a slot to become free or for its next probes. */
bool IsHeld(const CallState* call) {
  return call != nullptr && call->stage == CallState::Stage::kProbing && call->reprobe_pending;
}

void AddHeld(StateParts& parts, ServiceState& service, CallHandle handle) {
  std::vector<CallHandle>& held = service.held_calls;
  std::erase_if(held, [&](CallHandle other) { return other == handle || !IsHeld(parts.calls.Find(other)); });
  held.push_back(handle);
}

/**
 * Holds the call until it may probe again, or, while the probe budget is low, until an answer shows a free slot.
 * @param endpoint  the best endpoint so far
 * @return false if the call was held long enough, or if probing again costs more than `endpoint` is worth
 */
bool HoldForBetter(StateParts& parts,
                   CallHandle handle,
                   EndpointHandle endpoint,
                   float estimate,
                   TimePoint now,
                   Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  const Duration max_hold = parts.At(call.plan).config.objective_latency / kObjectiveLatencyDivisor;
  if (now + kReprobeDelay - call.arrived_at > max_hold)
    return false;
  const bool may_reprobe = parts.load_probe_budget.FillLevel() >= kReprobeBudgetLevel;
  if (!may_reprobe && !WouldWasteSlot(parts, call, endpoint, estimate, now))
    return false;
  call.reprobe_pending = true;
  call.decide_at = may_reprobe ? now + kReprobeDelay : call.arrived_at + max_hold;
  AddHeld(parts, parts.ServiceOf(call), handle);
  effects.push_back(Effect::ArmProbeWaitTimer{call.ticket, call.decide_at});
  return true;
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
  if (has_estimate && WouldWasteSlot(parts, call, endpoint, estimate, now))
    endpoint = BestProbedEndpoint(parts, call, kAllSlots, now, estimate);
  // This applies to retries after a refusal as well: with precedence they would make other calls late.
  if (has_estimate && (!endpoint.IsValid() || WouldWasteSlot(parts, call, endpoint, estimate, now))) {
    EndRejected(parts, handle, call.may_have_run ? Reason::kConnectionBroken : Reason::kOverloaded, now, effects);
    return;
  }
  if (!has_estimate)
    endpoint = FallbackEndpoint(parts, call, now);
  if (!endpoint.IsValid()) {
    const Reason reason = call.may_have_run ? Reason::kConnectionBroken : Reason::kNoEndpoint;
    EndRejected(parts, handle, reason, now, effects);
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

float ProbedUtilization(const CallState& call, EndpointHandle endpoint) {
  for (size_t i = 0; i < call.probed_count; ++i) {
    if (call.probed[i] == endpoint)
      return call.probed_utilizations[i];
  }
  return 0;
}

DispatchBasis ProbeBasis(const CallState& call) {
  DispatchBasis basis;
  basis.attempt = call.attempts;
  basis.asked = call.probed_count;
  const auto end = call.estimates_us.begin() + call.probed_count;
  const auto unanswered = std::count(call.estimates_us.begin(), end, kNoEstimate);
  basis.answered = static_cast<uint8_t>(call.probed_count - unanswered);
  return basis;
}

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
    const EndpointState& state = parts.At(event.endpoint);
    call->estimates_us[index] = estimate;
    const float utilization = (ReportedOccupancy(state, event.load) + 1.0F) / SlotCount(state, event.load);
    call->probed_utilizations[index] = utilization;
    ServiceState& service = parts.ServiceOf(*call);
    service.full_share = FullShareAt(service, event.now);
    service.full_share_at = event.now;
    UpdateRate(service.full_share, utilization > kAllSlots);
  } else if (!event.withdrawn) {
    RecordFailure(parts, event.endpoint, event.now);
  }
  if (estimate <= kGoodEnoughFactor * expected && IsEligible(parts, *call, event.endpoint, event.now)) {
    FinishProbing(parts, event.call, event.now, effects);
    return;
  }
  if (call->probes_outstanding > 0)
    return;
  if (!ProbeMore(parts, event.call, event.now, effects))
    FinishProbing(parts, event.call, event.now, effects);
}

void DispatchHeldCall(StateParts& parts,
                      EndpointHandle endpoint,
                      const LoadReport& load,
                      TimePoint now,
                      Effects& effects) {
  const EndpointState& state = parts.At(endpoint);
  if (!load.present || !state.service.IsValid() || parts.At(state.service).held_calls.empty())
    return;
  if (ReportedOccupancy(state, load) + 1.0F > SlotCount(state, load))
    return;
  CallHandle chosen;
  for (const CallHandle handle : parts.At(state.service).held_calls) {
    const CallState* call = parts.calls.Find(handle);
    if (!IsHeld(call) || !IsEligible(parts, *call, endpoint, now))
      continue;
    const float estimate = EstimateLatency(parts, *call, endpoint, load, now) / AversionFactor(state);
    if (estimate > MaxAcceptableLatency(parts, *call, now))
      continue;
    const CallState* other = parts.calls.Find(chosen);
    if (other == nullptr || parts.At(call->plan).config.priority < parts.At(other->plan).config.priority)
      chosen = handle;
  }
  if (CallState* call = parts.calls.Find(chosen)) {
    call->reprobe_pending = false;
    Dispatch(parts, chosen, endpoint, now, effects);
  }
}

void OnProbeWaitExpired(StateParts& parts, const Event::ProbeWaitExpired& event, Effects& effects) {
  const CallState* call = parts.calls.Find(event.call);
  if (call == nullptr || !IsAwaitingProbes(*call) || event.now < call->decide_at)
    return;
  if (call->reprobe_pending) {
    // Without probes the endpoint would be chosen blindly, and most of them are full.
    if (parts.load_probe_budget.FillLevel() < kLowBudgetLevel) {
      EndRejected(parts, event.call, call->may_have_run ? Reason::kConnectionBroken : Reason::kOverloaded, event.now,
                  effects);
      return;
    }
    if (!StartLoadProbing(parts, event.call, event.now, effects))
      EndRejected(parts, event.call, Reason::kNoEndpoint, event.now, effects);
    return;
  }
  FinishProbing(parts, event.call, event.now, effects);
}

}  // namespace sassafras
