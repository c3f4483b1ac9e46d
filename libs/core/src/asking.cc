#include "asking.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>

#include "call_end.h"
#include "dispatch.h"
#include "endpoint_news.h"
#include "parts.h"
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
/** A call waits for answers no longer than this part of its objective. */
constexpr int kObjectiveParts = 8;
/** Share of slots in use from which endpoints may slow down, and by how much. */
constexpr float kKneeShare = 0.8F;
constexpr float kKneeSlowdown = 1.7F;
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

float UsualLatency(Parts& parts, const CallState& call) {
  const float latency = parts.ServiceOf(call).LatencyFor(parts.At(call.plan).row.work);
  return latency > 0 ? latency : kFirstLatencyUs;
}

/** How much slower the endpoint was than its service lately, beyond what it said itself. */
float LearnedSlowdown(const EndpointState& state, float usual) {
  constexpr float kMost = 8.0F;
  return state.latency_us > 0 ? std::clamp(state.latency_us / usual, 0.8F, kMost) : 1.0F;
}

/** Estimates how long an attempt at the endpoint takes, from what it just reported. */
float Estimate(Parts& parts, const CallState& call, EndpointHandle endpoint, const LoadReport& load, TimePoint now) {
  const EndpointState& state = parts.At(endpoint);
  const float usual = UsualLatency(parts, call);
  const auto slots = static_cast<float>(std::max(1u, load.slots > 0 ? load.slots : state.slots));
  // Calls that this instance has sent since it asked are not in the report.
  const uint32_t since = state.in_flight > state.own_at_report ? state.in_flight - state.own_at_report : 0;
  const auto others = static_cast<float>(load.in_flight + since);
  float slowdown = std::max(load.slowdown, 0.1F) * LearnedSlowdown(state, usual);
  if (others + 1.0F > kKneeShare * slots)
    slowdown *= kKneeSlowdown;
  if (now < state.cold_until)
    slowdown *= kColdSlowdown;
  if (load.unhealthy)
    slowdown *= kUnhealthySlowdown;
  const float queued = std::max(0.0F, others + 1.0F - slots) / slots;
  float estimate = usual * slowdown * (1.0F + queued) * (1.0F + kFailureWeight * state.failure_rate);
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
  call.estimates_us[call.asked_count] = kUnknown;
  ++call.asked_count;
  ++call.answers_due;
  effects.push_back(Effect::SendProbe{endpoint, call.deadline, handle});
}

/** Asks up to `count` more endpoints, drawn at random; with `local`, only those of the same failure domain. */
void AskSome(Parts& parts, CallHandle handle, size_t count, bool local, TimePoint now, Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  const auto& candidates = parts.CandidatesOf(call);
  const size_t start = parts.random() % candidates.size();
  for (size_t step = 0; step < candidates.size() && count > 0 && call.asked_count < CallState::kMaxAsked; ++step) {
    // A random draw first, then the rest in order, so that a few eligible ones among many are found too.
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

void ArmDecision(Parts& parts, CallState& call, TimePoint now, Effects& effects) {
  const auto usual = std::chrono::duration_cast<Duration>(FloatMicros(parts.ask_rtt_us * kAskWaitFactor));
  Duration wait = parts.ask_rtt_us > 0 ? std::clamp<Duration>(usual, kMinAskWait, kMaxAskWait) : Duration(kMaxAskWait);
  wait = std::min<Duration>(wait, parts.At(call.plan).row.objective_latency / kObjectiveParts);
  call.decide_at = std::min(call.deadline, now + wait);
  effects.push_back(Effect::ArmAsk{call.ticket, call.decide_at});
}

/** The asked endpoint with the lowest estimate that may still take the call; invalid if none answered. */
EndpointHandle BestAnswer(Parts& parts, const CallState& call, TimePoint now, float& estimate) {
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
EndpointHandle Unasked(Parts& parts, const CallState& call, TimePoint now) {
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

void Decide(Parts& parts, CallHandle handle, TimePoint now, Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  float estimate = 0;
  EndpointHandle endpoint = BestAnswer(parts, call, now, estimate);
  if (call.asking_for_hedge) {
    call.asking_for_hedge = false;
    const bool in_time = now + FloatMicros(estimate) < call.deadline;
    if (endpoint.IsValid() && in_time && call.outstanding == 1)
      Hedge(parts, handle, endpoint, now, effects);
    return;
  }
  if (!endpoint.IsValid())
    endpoint = Unasked(parts, call, now);
  if (!endpoint.IsValid()) {
    const Reason reason = call.may_have_run ? Reason::kConnectionBroken : Reason::kNoEndpoint;
    EndRejected(parts, handle, reason, now, effects);
    return;
  }
  Dispatch(parts, handle, endpoint, now, effects);
}

/** Asks endpoints of other failure domains once, if no answer so far is good; returns whether any was asked. */
bool LookFurther(Parts& parts, CallHandle handle, TimePoint now, Effects& effects) {
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

bool StartAsking(Parts& parts, CallHandle handle, TimePoint now, Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  call.asked_count = 0;
  call.answers_due = 0;
  call.asking_for_hedge = false;
  call.asked_at = now;
  if (parts.CandidatesOf(call).empty())
    return false;
  AskSome(parts, handle, kAskedAtOnce, true, now, effects);
  if (call.asked_count < kAskedAtOnce - 1)
    AskSome(parts, handle, kAskedAtOnce - call.asked_count, false, now, effects);
  if (call.asked_count == 0)
    return false;
  if (call.outstanding == 0)
    call.stage = CallState::Stage::kAsking;
  ArmDecision(parts, call, now, effects);
  return true;
}

void OnAskAnswered(Parts& parts, const Event::ProbeEnded& event, Effects& effects) {
  CallState* call = parts.calls.Find(event.call);
  if (call == nullptr || !IsWaitingForAnswers(*call) || call->answers_due == 0)
    return;
  const auto end = call->asked.begin() + call->asked_count;
  const auto asked = std::find(call->asked.begin(), end, event.endpoint);
  if (asked == end)
    return;
  --call->answers_due;
  const float usual = UsualLatency(parts, *call);
  float estimate = kUnknown;
  if (event.answered && event.load.present) {
    UpdateAverage(parts.ask_rtt_us, FloatMicros(event.now - call->asked_at).count());
    estimate = Estimate(parts, *call, event.endpoint, event.load, event.now);
    call->estimates_us[static_cast<size_t>(asked - call->asked.begin())] = estimate;
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

void OnAskDue(Parts& parts, const Event::AskDue& event, Effects& effects) {
  const CallState* call = parts.calls.Find(event.call);
  if (call == nullptr || !IsWaitingForAnswers(*call) || event.now < call->decide_at)
    return;
  Decide(parts, event.call, event.now, effects);
}

}  // namespace sassafras
