#include "attempts.h"

#include <algorithm>
#include <chrono>

#include "call_end.h"
#include "dispatch.h"
#include "endpoint_learning.h"
#include "full_endpoints.h"
#include "hedge_policy.h"
#include "held_calls.h"
#include "key_confirmation.h"
#include "load_probing.h"
#include "quota.h"
#include "selection.h"
#include "state_parts.h"

namespace sassafras {
namespace {

constexpr double kRetryCost = 1.0;
/** Time for which an endpoint is ejected after another endpoint answered at its address. */
constexpr std::chrono::seconds kReassignedAddressEjection{5};

/** Returns the reason to report to the caller when no further attempt is made. */
Reason RejectionReason(AttemptResult result, bool may_have_run, bool in_time) {
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

bool IsKnownNotRun(AttemptResult result) {
  return result == AttemptResult::kRefused || result == AttemptResult::kNotSent || result == AttemptResult::kWithdrawn;
}

/**
 * Decides whether a call is retried after an attempt that ended with `result`. A retry that spends budget takes it from
 * the retry budget or, if that is used up, from the hedge budget.
 */
bool TryAcquireRetry(StateParts& parts, const CallState& call, AttemptResult result, TimePoint now) {
  const bool repeatable = MayRepeat(parts, call) || !call.may_have_run;
  const bool no_answer = result == AttemptResult::kBroken || result == AttemptResult::kMalformed;
  const bool retryable = IsKnownNotRun(result) || no_answer;
  if (!repeatable || !retryable || !call.replayable || call.answer_started)
    return false;
  if (call.attempts >= MaxAttempts(call) || now >= call.deadline)
    return false;
  if (parts.quarantine.IsQuarantined(call.fingerprint, now))
    return false;
  // No byte was sent, so the endpoint never saw the attempt: the retry costs no budget.
  if (result == AttemptResult::kNotSent || result == AttemptResult::kWithdrawn)
    return true;
  ServiceState& service = parts.ServiceOf(call);
  return service.retry_budget.Spend(kRetryCost) || service.hedge_budget.Spend(kRetryCost);
}

/** Updates the moving average of the endpoint's latency relative to its service; `ratio` is the new sample. */
void UpdateRelativeLatency(EndpointState& state, float ratio, TimePoint now) {
  constexpr float kWeight = 0.1F;
  // Limits the influence of requests that take many times as long at any endpoint and so say little about this one.
  constexpr float kMaxRatio = 4.0F;
  const float known = RelativeLatencyAt(state, now);
  state.relative_latency = known + kWeight * (std::min(ratio, kMaxRatio) - known);
  state.relative_latency_at = now;
}

/** Updates the factor by which endpoints slow down when few of their slots are free. */
void UpdateNearFullSlowdown(ServiceState& service, float utilization, float ratio) {
  constexpr float kWeight = 0.02F;
  constexpr float kMaxRatio = 3.0F;
  if (utilization > kNearFullUtilization && utilization <= 1.0F)
    service.near_full_slowdown += kWeight * (std::min(ratio, kMaxRatio) - service.near_full_slowdown);
}

void LearnLatency(StateParts& parts, const CallState& call, EndpointHandle endpoint, TimePoint now) {
  const auto end = call.tried.begin() + call.attempts;
  const auto attempt = std::find(call.tried.begin(), end, endpoint);
  if (attempt == end)
    return;
  const auto index = static_cast<size_t>(attempt - call.tried.begin());
  const float micros = std::chrono::duration<float, std::micro>(now - call.dispatched_at[index]).count();
  // Divides by the slowdown that the endpoint had last reported at the start of the attempt: the slowdown changes many
  // times a second.
  const float normalized_us = micros / call.reported_slowdowns[index];
  UpdateAverage(parts.At(endpoint).latency_us, normalized_us);
  ServiceState& service = parts.ServiceOf(call);
  float& mean = service.LatencyFor(call.terms.work);
  if (mean > 0)
    UpdateNearFullSlowdown(service, call.utilizations[index], normalized_us / mean);
  // With few free slots or a queue the latency includes more than the work itself, so it is not learned.
  if (call.utilizations[index] > kNearFullUtilization)
    return;
  UpdateAverage(mean, normalized_us);
  UpdateRelativeLatency(parts.At(endpoint), normalized_us / mean, now);
}

/** Ejects an endpoint whose address now belongs to another one, to allow time for the platform's update to arrive. */
void EjectReassignedEndpoint(EndpointState& state, TimePoint now) {
  state.ejected_until = now + kReassignedAddressEjection;
}

void RecordSuccess(EndpointState& state) {
  state.consecutive_failures = 0;
  state.ejections = 0;
}

/** Records that a connection to the endpoint broke while it ran the request, and tells peers if that is new. */
void HandleBrokenConnection(StateParts& parts, uint64_t fingerprint, EndpointHandle endpoint, TimePoint now) {
  using Kind = GossipMessage::Rumor::Kind;
  const uint64_t name_hash = parts.At(endpoint).name_hash;
  const Quarantine::Change change = parts.quarantine.RecordBrokenConnection(fingerprint, name_hash, now);
  if (change == Quarantine::Change::kNone)
    return;
  SpreadRumor(parts, {Kind::kSuspect, fingerprint, name_hash, Quarantine::kSuspectLifetime}, now);
  if (change != Quarantine::Change::kQuarantined)
    return;
  LogQuarantined(parts, fingerprint, Quarantine::kQuarantineLifetime, "own calls");
  SpreadRumor(parts, {Kind::kQuarantine, fingerprint, 0, Quarantine::kQuarantineLifetime}, now);
}

/** Whether an attempt that got no answer says only that its endpoint was full; if so, marks the endpoint as full. */
bool WasSilenceWhenFull(StateParts& parts, const Event::AttemptEnded& event, const CallState* call) {
  const bool timed_out = event.result == AttemptResult::kTimedOut;
  // With a load report the endpoint has begun to answer.
  if (call == nullptr || event.load.present || (!timed_out && event.result != AttemptResult::kBroken))
    return false;
  return HandleSilenceWhenFull(parts, *call, event.endpoint, parts.At(event.endpoint).in_flight, timed_out, event.now);
}

/** Updates what is known about the endpoint of an ended attempt; `call` is null if the call has already ended. */
void LearnFromAttempt(StateParts& parts, const Event::AttemptEnded& event, const CallState* call) {
  EndpointState& state = parts.At(event.endpoint);
  if (state.in_flight > 0)
    --state.in_flight;
  // Another endpoint at the same address reports nothing about this one.
  if (!event.wrong_endpoint)
    LearnFromLoadReport(parts, event.endpoint, event.load, event.now);
  if (WasSilenceWhenFull(parts, event, call))
    return;
  switch (event.result) {
    case AttemptResult::kAnswered:
      state.progress_at = event.now;
      RecordSuccess(state);
      UpdateRate(state.failure_rate, event.failure_status);
      if (call != nullptr) {
        LearnLatency(parts, *call, event.endpoint, event.now);
        LearnQueue(*call, event.endpoint, state);
        parts.quarantine.RecordAnswer(call->fingerprint, event.now);
      }
      break;
    case AttemptResult::kRefused:
      state.progress_at = event.now;
      if (event.wrong_endpoint)
        EjectReassignedEndpoint(state, event.now);
      else if (!event.load.present)
        MarkFull(state, event.now);
      break;
    case AttemptResult::kBroken:
    case AttemptResult::kBrokenInAnswer:
      RecordFailure(parts, event.endpoint, event.now);
      if (call != nullptr)
        HandleBrokenConnection(parts, call->fingerprint, event.endpoint, event.now);
      break;
    case AttemptResult::kNotSent:
    case AttemptResult::kTimedOut:
    case AttemptResult::kMalformed:
      RecordFailure(parts, event.endpoint, event.now);
      break;
    case AttemptResult::kWithdrawn:
    case AttemptResult::kCancelled:
    case AttemptResult::kAborted:
      break;
  }
}

/** Whether the attempt that had begun to answer the caller ended before its answer was complete. */
bool IsAnswerBrokenOff(const CallState& call, AttemptResult result) {
  // The other attempts were cancelled when the answer began.
  return call.answer_started && result != AttemptResult::kCancelled;
}

/** Retries or ends a call after an attempt that ended without an answer, when no other one may still answer. */
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
  // The attempt was withdrawn because of the key, so that is the reason to report, not the lack of an answer.
  if (event.result == AttemptResult::kWithdrawn && RejectIfKeyForbids(parts, event.call, event.now, effects))
    return;
  const Reason reason = RejectionReason(event.result, call.may_have_run, event.now < call.deadline);
  if (TryAcquireRetry(parts, call, event.result, event.now)) {
    ++parts.At(call.plan).totals.retries;
    DispatchQueueOrReject(parts, event.call, reason, event.now, effects);
    return;
  }
  EndRejected(parts, event.call, reason, event.now, effects);
}

}  // namespace

void OnEndpointReported(StateParts& parts, const Event::EndpointReported& event) {
  LearnAvailability(parts, event.endpoint, event.load, event.now);
}

void OnAnswerStarted(StateParts& parts, const Event::AnswerStarted& event) {
  CallState* call = parts.calls.Find(event.call);
  if (call == nullptr)
    return;
  call->answer_started = true;
  call->probing_for_hedge = false;
}

void OnAttemptEnded(StateParts& parts, const Event::AttemptEnded& event, Effects& effects) {
  CallState* call = parts.calls.Find(event.call);
  LearnFromAttempt(parts, event, call);
  const ServiceHandle service = parts.At(event.endpoint).service;
  if (call != nullptr) {
    LearnForHedging(parts, *call, event);
    if (call->attempts_outstanding > 0)
      --call->attempts_outstanding;
    if (!IsKnownNotRun(event.result))
      call->may_have_run = true;
    else
      UndoSpendQuota(parts, *call);
    if (event.result == AttemptResult::kAnswered)
      EndAnswered(parts, event.call, event.failure_status, event.answer, event.now, effects);
    else if (call->attempts_outstanding == 0 || IsAnswerBrokenOff(*call, event.result))
      RetryOrReject(parts, event, effects);
  }
  if (!service.IsValid())
    return;
  DispatchHeldCall(parts, event.endpoint, event.load, event.now, effects);
  DispatchWaiting(parts, parts.At(service), event.now, effects);
}

}  // namespace sassafras
