#include "attempts.h"

#include <algorithm>
#include <chrono>

#include "asking.h"
#include "call_end.h"
#include "dispatch.h"
#include "endpoint_news.h"
#include "state_parts.h"
#include "selection.h"

namespace sassafras {
namespace {

using Stage = CallState::Stage;

constexpr double kAttemptCost = 1.0;
/** How long an endpoint is left alone whose address another one has. */
constexpr std::chrono::seconds kReplacedPause{5};
/** Reason to tell the caller when no attempt is left. */
Reason FinalReason(AttemptResult result, bool may_have_run, bool in_time) {
  if (result == AttemptResult::kTimedOut)
    return Reason::kDeadlineWhileRunning;
  if (result == AttemptResult::kMalformed)
    return Reason::kBadAnswer;
  if (result == AttemptResult::kBroken || may_have_run)
    return Reason::kConnectionBroken;
  if (!in_time)
    return Reason::kDeadlineBeforeStart;
  return result == AttemptResult::kNotSent ? Reason::kConnectFailed : Reason::kRefusedByUpstreams;
}

bool IsNotRun(AttemptResult result) {
  return result == AttemptResult::kRefused || result == AttemptResult::kNotSent || result == AttemptResult::kWithdrawn;
}

/** Whether another attempt may follow one that ended like this. */
bool MayRetry(StateParts& parts, const CallState& call, AttemptResult result, TimePoint now) {
  const PlanState& plan = parts.At(call.plan);
  const bool repeatable = plan.row.repeat == Repeat::kSafe || !call.may_have_run;
  const bool retryable = IsNotRun(result) || result == AttemptResult::kBroken;
  if (!repeatable || !retryable || !call.replayable)
    return false;
  if (call.attempts >= MaxAttempts(plan.row) || now >= call.deadline)
    return false;
  if (parts.quarantine.IsQuarantined(call.fingerprint, now))
    return false;
  // An attempt of which no byte left is none that an endpoint saw.
  if (result == AttemptResult::kNotSent || result == AttemptResult::kWithdrawn)
    return true;
  ServiceState& service = parts.ServiceOf(call);
  return service.retry_budget.Spend(kAttemptCost) || service.hedge_budget.Spend(kAttemptCost);
}

/** Moves the estimate up by 19 steps for each answer above it and down by one for each below. */
void UpdateP95(float& estimate, float sample) {
  constexpr float kStep = 0.005F;
  constexpr float kUpSteps = 19.0F;
  if (estimate <= 0.0F)
    estimate = sample;
  else
    estimate *= sample > estimate ? 1.0F + kUpSteps * kStep : 1.0F - kStep;
}

/** Moves what is known of the endpoint relative to its service. */
void LearnRelative(EndpointState& state, float ratio, TimePoint now) {
  constexpr float kWeight = 0.1F;
  // A few requests take many times as long wherever they run.
  constexpr float kMost = 4.0F;
  const float known = RelativeLatencyAt(state, now);
  state.relative_latency = known + kWeight * (std::min(ratio, kMost) - known);
  state.relative_at = now;
}

/** Learns how much slower endpoints are that have few free slots. */
void LearnKnee(ServiceState& service, float share, float ratio) {
  constexpr float kWeight = 0.02F;
  constexpr float kMost = 3.0F;
  if (share > kKneeShare && share <= 1.0F)
    service.knee_slowdown += kWeight * (std::min(ratio, kMost) - service.knee_slowdown);
}

void LearnLatency(StateParts& parts, const CallState& call, EndpointHandle endpoint, TimePoint now) {
  const auto end = call.tried.begin() + call.attempts;
  const auto attempt = std::find(call.tried.begin(), end, endpoint);
  if (attempt == end)
    return;
  const auto index = static_cast<size_t>(attempt - call.tried.begin());
  const float micros = std::chrono::duration<float, std::micro>(now - call.dispatched[index]).count();
  // What the endpoint itself said of its speed at that moment is taken out: it changes many times a second.
  const float usual = micros / call.slowdowns[index];
  PlanState& plan = parts.At(call.plan);
  UpdateP95(plan.p95_us, micros);
  UpdateAverage(parts.At(endpoint).latency_us, usual);
  ServiceState& service = parts.ServiceOf(call);
  float& mean = service.LatencyFor(plan.row.work);
  if (mean > 0)
    LearnKnee(service, call.shares[index], usual / mean);
  // At endpoints with few free slots or a queue the time is not that of the work.
  if (call.shares[index] > kKneeShare)
    return;
  UpdateAverage(mean, usual);
  LearnRelative(parts.At(endpoint), usual / mean, now);
}

/** A refusal without a report says that all slots are taken. */
void NoteFull(EndpointState& state, TimePoint now) {
  state.reported = std::max(state.reported, state.slots);
  state.own_at_report = state.in_flight;
  state.reported_at = now;
}

/** Another endpoint has the address: nothing goes there until the platform says more. */
void NoteReplaced(EndpointState& state, TimePoint now) {
  state.ejected_until = now + kReplacedPause;
}

void NoteSuccess(EndpointState& state) {
  state.consecutive_failures = 0;
  state.ejections = 0;
}

/** Takes in that a connection broke while the request ran there. */
void NoteCrash(StateParts& parts, uint64_t fingerprint, EndpointHandle endpoint, TimePoint now) {
  using Kind = GossipMessage::Rumor::Kind;
  const uint64_t name_hash = parts.At(endpoint).name_hash;
  const Quarantine::Change change = parts.quarantine.Suspect(fingerprint, name_hash, now);
  if (change == Quarantine::Change::kNone)
    return;
  SpreadRumor(parts, {Kind::kSuspect, fingerprint, name_hash, Quarantine::kSuspectLifetime}, now);
  if (change != Quarantine::Change::kQuarantined)
    return;
  NoteQuarantined(parts, fingerprint, Quarantine::kQuarantineLifetime, "own calls");
  SpreadRumor(parts, {Kind::kQuarantine, fingerprint, 0, Quarantine::kQuarantineLifetime}, now);
}

void LearnFromEnd(StateParts& parts, const Event::AttemptEnded& event, const CallState* call) {
  EndpointState& state = parts.At(event.endpoint);
  if (state.in_flight > 0)
    --state.in_flight;
  LearnFromReport(parts, event.endpoint, event.load, event.now);
  switch (event.result) {
    case AttemptResult::kAnswered:
      state.progress_at = event.now;
      NoteSuccess(state);
      UpdateShare(state.failure_rate, event.failure_status);
      if (call != nullptr) {
        LearnLatency(parts, *call, event.endpoint, event.now);
        parts.quarantine.Answered(call->fingerprint, event.now);
      }
      break;
    case AttemptResult::kRefused:
      state.progress_at = event.now;
      if (event.wrong_endpoint)
        NoteReplaced(state, event.now);
      else if (!event.load.present)
        NoteFull(state, event.now);
      break;
    case AttemptResult::kBroken:
    case AttemptResult::kBrokenInAnswer:
      NoteFailure(parts, event.endpoint, event.now);
      if (call != nullptr)
        NoteCrash(parts, call->fingerprint, event.endpoint, event.now);
      break;
    case AttemptResult::kNotSent:
    case AttemptResult::kTimedOut:
    case AttemptResult::kMalformed:
      NoteFailure(parts, event.endpoint, event.now);
      break;
    case AttemptResult::kWithdrawn:
    case AttemptResult::kCancelled:
      break;
  }
}

/** Decides what follows when the last outstanding attempt of a call ended without an answer. */
void RetryOrReject(StateParts& parts, const Event::AttemptEnded& event, Effects& effects) {
  CallState& call = *parts.calls.Find(event.call);
  if (event.result == AttemptResult::kBrokenInAnswer) {
    EndRejected(parts, event.call, Reason::kConnectionBroken, event.now, effects);
    return;
  }
  if (event.result == AttemptResult::kCancelled) {
    EndCancelled(parts, event.call, true, event.now, effects);
    return;
  }
  const Reason reason = FinalReason(event.result, call.may_have_run, event.now < call.deadline);
  if (MayRetry(parts, call, event.result, event.now)) {
    ++parts.At(call.plan).totals.retries;
    SendOrHold(parts, event.call, reason, event.now, effects);
    return;
  }
  EndRejected(parts, event.call, reason, event.now, effects);
}

}  // namespace

void OnHedgeDue(StateParts& parts, const Event::HedgeDue& event, Effects& effects) {
  CallState* call = parts.calls.Find(event.call);
  if (call == nullptr || call->stage != Stage::kRunning || call->outstanding != 1)
    return;
  PlanState& plan = parts.At(call->plan);
  if (!MayHedge(parts, *call, plan) || parts.quarantine.IsSuspect(call->fingerprint))
    return;
  if (parts.options.ask_first) {
    call->asking_for_hedge = StartAsking(parts, event.call, event.now, effects);
    return;
  }
  Selector selector(parts, plan, *call, event.now);
  const EndpointHandle endpoint = selector.Choose(parts.options.selection);
  if (endpoint.IsValid())
    Hedge(parts, event.call, endpoint, event.now, effects);
}

void OnAttemptEnded(StateParts& parts, const Event::AttemptEnded& event, Effects& effects) {
  CallState* call = parts.calls.Find(event.call);
  LearnFromEnd(parts, event, call);
  const ServiceHandle service = parts.At(event.endpoint).service;
  if (call != nullptr) {
    if (call->outstanding > 0)
      --call->outstanding;
    if (!IsNotRun(event.result))
      call->may_have_run = true;
    if (event.result == AttemptResult::kAnswered)
      EndAnswered(parts, event.call, event.failure_status, event.answer, event.now, effects);
    else if (call->outstanding == 0)
      RetryOrReject(parts, event, effects);
  }
  if (service.IsValid())
    PumpQueues(parts, parts.At(service), event.now, effects);
}

}  // namespace sassafras
