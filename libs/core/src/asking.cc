#include "asking.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>

#include "call_end.h"
#include "dispatch.h"
#include "endpoint_news.h"
#include "state_parts.h"
#include "selection.h"

namespace sassafras {
namespace {

using FloatMicros = std::chrono::duration<float, std::micro>;
using std::chrono::milliseconds;

/** Endpoints asked at a time. */
constexpr size_t kAskedAtOnce = 3;
/** Random draws for endpoints to ask. */
constexpr size_t kDraws = 12;
/** Bounds of the time that asked endpoints are given, and that time relative to the usual answer. */
constexpr milliseconds kMinAskWait{4};
constexpr milliseconds kMaxAskWait{60};
constexpr float kAskWaitFactor = 3.0F;
/** A call waits for answers at least this part of the usual time of its work. */
constexpr float kWorkParts = 4.0F;
/** A call waits for answers no longer than this part of its objective. */
constexpr int kObjectiveParts = 8;
/** Pause before a call asks again that found no endpoint with room. */
constexpr milliseconds kAskAgain{12};
/** Part of its objective by which an attempt of a call should be done, by the estimate. */
constexpr float kObjectivePart = 0.75F;
/** A second attempt beside the first is made only where no more than this share of slots is in use. */
constexpr float kHedgeShare = 0.6F;
/** Part of the fleet's questions that is used, and how long questions may be saved up. */
constexpr double kAskPart = 0.75;
constexpr milliseconds kAskBurst{12'000};
/** Level of the budget from which fewer questions are asked, and how many then. */
constexpr double kLowBudget = 0.25;
constexpr size_t kAskedWhenLow = 2;
/** Level of the budget from which on calls may ask more than once. */
constexpr double kAmpleBudget = 0.5;
/** Endpoints that were this much slower than their service lately are taken for slow. */
constexpr float kSlowFrom = 1.3F;
/** An endpoint in another failure domain has to be this much faster. */
constexpr float kRemotePenalty = 1.1F;
/** Estimate, relative to the usual time, up to which a choice is made without looking further. */
constexpr float kGoodEnough = 1.35F;
/** How strongly failures weigh against an endpoint. */
constexpr float kFailureWeight = 8.0F;
/** Work taken for usual before the first answer. */
constexpr float kFirstLatencyUs = 100'000.0F;
constexpr float kColdSlowdown = 2.0F;
constexpr float kUnhealthySlowdown = 5.0F;
constexpr float kUnknown = std::numeric_limits<float>::infinity();

float UsualLatency(StateParts& parts, const CallState& call) {
  const float latency = parts.ServiceOf(call).LatencyFor(parts.At(call.plan).row.work);
  return latency > 0 ? latency : kFirstLatencyUs;
}

/** How much slower the endpoint was than its service lately, beyond what it said itself. */
float LearnedSlowdown(const EndpointState& state, TimePoint now) {
  return std::max(1.0F, RelativeLatencyAt(state, now) / kSlowFrom);
}

/** Requests at the endpoint by its report, with those that this instance has sent since. */
float Occupancy(const EndpointState& state, const LoadReport& load) {
  const uint32_t since = state.in_flight > state.own_at_report ? state.in_flight - state.own_at_report : 0;
  return static_cast<float>(load.in_flight + since);
}

float SlotsOf(const EndpointState& state, const LoadReport& load) {
  return static_cast<float>(std::max(1u, load.slots > 0 ? load.slots : state.slots));
}

/** Estimates how long an attempt at the endpoint takes, from what it just reported. */
float Estimate(StateParts& parts,
               const CallState& call,
               EndpointHandle endpoint,
               const LoadReport& load,
               TimePoint now) {
  const EndpointState& state = parts.At(endpoint);
  const float slots = SlotsOf(state, load);
  const float occupied = Occupancy(state, load) + 1.0F;
  float slowdown = std::max(load.slowdown, 0.1F) * LearnedSlowdown(state, now);
  if (occupied > kKneeShare * slots)
    slowdown *= std::max(1.0F, parts.ServiceOf(call).knee_slowdown);
  if (now < state.cold_until)
    slowdown *= kColdSlowdown;
  if (load.unhealthy)
    slowdown *= kUnhealthySlowdown;
  const float queued = std::max(0.0F, occupied - slots) / slots;
  float estimate = UsualLatency(parts, call) * slowdown * (1.0F + queued);
  estimate *= 1.0F + kFailureWeight * state.failure_rate;
  if (!state.same_domain)
    estimate *= kRemotePenalty;
  return estimate;
}

bool WasAsked(const CallState& call, EndpointHandle endpoint) {
  const auto end = call.asked.begin() + call.asked_count;
  return std::find(call.asked.begin(), end, endpoint) != end;
}

void Ask(CallState& call, CallHandle handle, EndpointHandle endpoint, Effects& effects) {
  call.asked[call.asked_count] = endpoint;
  call.asked_shares[call.asked_count] = 0;
  call.estimates_us[call.asked_count] = kUnknown;
  ++call.asked_count;
  ++call.answers_due;
  effects.push_back(Effect::SendProbe{endpoint, call.deadline, handle});
}

/** How many of `count` questions this instance may ask by its part of the fleet's budget. */
size_t GrantQuestions(StateParts& parts, size_t count, TimePoint now) {
  const auto fleet = static_cast<double>(std::max<size_t>(1, parts.members.CountServing(now)));
  size_t endpoints = 0;
  for (const ServiceState& service : parts.services)
    endpoints += service.endpoints.size();
  const double rate =
      parts.options.load_queries_per_endpoint_per_second * kAskPart * static_cast<double>(endpoints) / fleet;
  if (parts.load_query_budget.Level() < kLowBudget)
    count = std::min(count, kAskedWhenLow);
  return parts.load_query_budget.Take(count, rate, kAskBurst, now);
}

/** Asks up to `count` more endpoints, drawn at random; with `local`, only those of the same failure domain. */
void AskSome(StateParts& parts, CallHandle handle, size_t count, bool local, TimePoint now, Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  const auto& candidates = parts.CandidatesOf(call);
  // The plan may have moved to other services while the call was asking.
  if (candidates.empty())
    return;
  count = GrantQuestions(parts, count, now);
  const size_t start = parts.random() % candidates.size();
  const size_t most = kDraws + candidates.size();
  for (size_t step = 0; step < most && count > 0 && call.asked_count < CallState::kMaxAsked; ++step) {
    // Random draws first, then all in order, so that a few eligible ones among many are found too.
    const size_t position = step < kDraws ? parts.random() % candidates.size() : (start + step) % candidates.size();
    const EndpointHandle endpoint = candidates[position];
    if ((local && !parts.At(endpoint).same_domain) || WasAsked(call, endpoint))
      continue;
    if (!IsEligible(parts, call, endpoint, now))
      continue;
    Ask(call, handle, endpoint, effects);
    --count;
  }
}

void ArmDecision(StateParts& parts, CallState& call, TimePoint now, Effects& effects) {
  const FloatMicros usual_answers(parts.load_query_rtt_us * kAskWaitFactor);
  // A choice without answers may cost several times the usual time of the work, so a part of that is worth waiting.
  const FloatMicros worth_waiting(UsualLatency(parts, call) / kWorkParts);
  const auto patient = std::chrono::duration_cast<Duration>(std::max(usual_answers, worth_waiting));
  Duration wait =
      parts.load_query_rtt_us > 0 ? std::clamp<Duration>(patient, kMinAskWait, kMaxAskWait) : Duration(kMaxAskWait);
  wait = std::min<Duration>(wait, parts.At(call.plan).row.objective_latency / kObjectiveParts);
  call.decide_at = std::min(call.deadline, now + wait);
  effects.push_back(Effect::ArmLoadQueryTimer{call.ticket, call.decide_at});
}

/** The asked endpoint with the lowest estimate that may still take the call; invalid if none answered. */
EndpointHandle BestAnswer(StateParts& parts, const CallState& call, TimePoint now, float& estimate) {
  EndpointHandle best;
  estimate = kUnknown;
  for (size_t i = 0; i < call.asked_count; ++i) {
    if (call.estimates_us[i] < estimate && IsEligible(parts, call, call.asked[i], now)) {
      best = call.asked[i];
      estimate = call.estimates_us[i];
    }
  }
  return best;
}

/** An endpoint for a call whose questions nobody answered: the one with the least work of this instance. */
EndpointHandle Unasked(StateParts& parts, const CallState& call, TimePoint now) {
  EndpointHandle best;
  const auto& candidates = parts.CandidatesOf(call);
  const size_t start = candidates.empty() ? 0 : parts.random() % candidates.size();
  for (size_t step = 0; step < candidates.size(); ++step) {
    const EndpointHandle endpoint = candidates[(start + step) % candidates.size()];
    if (!IsEligible(parts, call, endpoint, now) || WasAsked(call, endpoint))
      continue;
    if (!best.IsValid() || parts.At(endpoint).in_flight < parts.At(best).in_flight)
      best = endpoint;
  }
  if (!best.IsValid() && call.asked_count > 0 && IsEligible(parts, call, call.asked[0], now))
    best = call.asked[0];
  return best;
}

bool IsWaitingForAnswers(const CallState& call) {
  return call.stage == CallState::Stage::kAsking || call.asking_for_hedge;
}

/** Makes the second attempt that the questions were asked for, where there is room and time for it. */
void DecideHedge(StateParts& parts,
                 CallHandle handle,
                 EndpointHandle endpoint,
                 float estimate,
                 TimePoint now,
                 Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  call.asking_for_hedge = false;
  const bool in_time = now + FloatMicros(estimate) < call.deadline;
  if (endpoint.IsValid() && in_time && call.outstanding == 1 && AskedShare(call, endpoint) <= kHedgeShare)
    Hedge(parts, handle, endpoint, now, effects);
}

/** How long an attempt may take that is worth making where few slots are free. */
float TimeWorthTaking(StateParts& parts, const CallState& call, TimePoint now) {
  const float left = FloatMicros(call.deadline - now).count();
  const float objective = FloatMicros(parts.At(call.plan).row.objective_latency).count();
  const float used = FloatMicros(now - call.arrived).count();
  return std::min(left, kObjectivePart * objective - used);
}

/** Lets the call ask again after a pause; false if it has waited as long as it should. */
bool AskAgainLater(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  const Duration hold = parts.At(call.plan).row.objective_latency / kObjectiveParts;
  if (now + kAskAgain - call.arrived > hold || parts.load_query_budget.Level() < kAmpleBudget)
    return false;
  call.pausing = true;
  call.decide_at = now + kAskAgain;
  effects.push_back(Effect::ArmLoadQueryTimer{call.ticket, call.decide_at});
  return true;
}

void Decide(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  float estimate = 0;
  EndpointHandle endpoint = BestAnswer(parts, call, now, estimate);
  if (call.asking_for_hedge) {
    DecideHedge(parts, handle, endpoint, estimate, now, effects);
    return;
  }
  const bool answered = endpoint.IsValid();
  const float usual = UsualLatency(parts, call);
  if (answered && estimate > kGoodEnough * usual && AskAgainLater(parts, handle, now, effects))
    return;
  // With few free slots left, they go to calls that are still answered in time: those that came back after a refusal
  // have no precedence, or they would make the others late as well.
  if (answered && estimate > TimeWorthTaking(parts, call, now) && AskedShare(call, endpoint) > 1.0F) {
    EndRejected(parts, handle, call.may_have_run ? Reason::kConnectionBroken : Reason::kOverloaded, now, effects);
    return;
  }
  if (!answered)
    endpoint = Unasked(parts, call, now);
  if (!endpoint.IsValid()) {
    const Reason reason = call.may_have_run ? Reason::kConnectionBroken : Reason::kNoEndpoint;
    EndRejected(parts, handle, reason, now, effects);
    return;
  }
  Dispatch(parts, handle, endpoint, now, effects);
}

/** Asks endpoints of other failure domains once, if no answer so far is good; returns whether any was asked. */
bool LookFurther(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  const size_t before = call.asked_count;
  if (before > kAskedAtOnce)
    return false;
  AskSome(parts, handle, CallState::kMaxAsked - before, false, now, effects);
  if (call.asked_count == before)
    return false;
  // One more question ends the search: the count tells that it was asked.
  call.asked_at = now;
  ArmDecision(parts, call, now, effects);
  return true;
}

}  // namespace

float AskedShare(const CallState& call, EndpointHandle endpoint) {
  for (size_t i = 0; i < call.asked_count; ++i) {
    if (call.asked[i] == endpoint)
      return call.asked_shares[i];
  }
  return 0;
}

DispatchBasis BasisOfAnswers(const CallState& call) {
  DispatchBasis basis;
  basis.attempt = call.attempts;
  basis.asked = call.asked_count;
  const auto end = call.estimates_us.begin() + call.asked_count;
  const auto unanswered = std::count(call.estimates_us.begin(), end, kUnknown);
  basis.answered = static_cast<uint8_t>(call.asked_count - unanswered);
  return basis;
}

bool StartAsking(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  call.asked_count = 0;
  call.answers_due = 0;
  call.asking_for_hedge = false;
  call.pausing = false;
  call.asked_at = now;
  if (parts.CandidatesOf(call).empty())
    return false;
  AskSome(parts, handle, kAskedAtOnce, true, now, effects);
  if (call.asked_count < kAskedAtOnce - 1)
    AskSome(parts, handle, kAskedAtOnce - call.asked_count, false, now, effects);
  if (call.asked_count == 0 && !Unasked(parts, call, now).IsValid())
    return false;
  if (call.outstanding == 0)
    call.stage = CallState::Stage::kAsking;
  if (call.asked_count > 0) {
    ArmDecision(parts, call, now, effects);
    return true;
  }
  if (call.outstanding > 0)
    return false;
  // No question may be asked now: the choice is made without.
  Decide(parts, handle, now, effects);
  return true;
}

void OnAskAnswered(StateParts& parts, const Event::ProbeEnded& event, Effects& effects) {
  CallState* call = parts.calls.Find(event.call);
  if (call == nullptr || !IsWaitingForAnswers(*call) || call->answers_due == 0 || call->pausing)
    return;
  const auto end = call->asked.begin() + call->asked_count;
  const auto asked = std::find(call->asked.begin(), end, event.endpoint);
  if (asked == end)
    return;
  --call->answers_due;
  const float usual = UsualLatency(parts, *call);
  float estimate = kUnknown;
  if (event.answered && event.load.present) {
    UpdateAverage(parts.load_query_rtt_us, FloatMicros(event.now - call->asked_at).count());
    estimate = Estimate(parts, *call, event.endpoint, event.load, event.now);
    const auto index = static_cast<size_t>(asked - call->asked.begin());
    const EndpointState& state = parts.At(event.endpoint);
    call->estimates_us[index] = estimate;
    call->asked_shares[index] = (Occupancy(state, event.load) + 1.0F) / SlotsOf(state, event.load);
  } else {
    NoteFailure(parts, event.endpoint, event.now);
  }
  if (estimate <= kGoodEnough * usual && IsEligible(parts, *call, event.endpoint, event.now)) {
    Decide(parts, event.call, event.now, effects);
    return;
  }
  if (call->answers_due > 0)
    return;
  if (!LookFurther(parts, event.call, event.now, effects))
    Decide(parts, event.call, event.now, effects);
}

void OnAskDue(StateParts& parts, const Event::LoadQueryTimeout& event, Effects& effects) {
  const CallState* call = parts.calls.Find(event.call);
  if (call == nullptr || !IsWaitingForAnswers(*call) || event.now < call->decide_at)
    return;
  if (call->pausing) {
    if (!StartAsking(parts, event.call, event.now, effects))
      EndRejected(parts, event.call, Reason::kNoEndpoint, event.now, effects);
    return;
  }
  Decide(parts, event.call, event.now, effects);
}

}  // namespace sassafras
