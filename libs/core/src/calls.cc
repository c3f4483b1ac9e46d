#include "calls.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "call_end.h"
#include "dispatch.h"
#include "hedge_policy.h"
#include "key_confirmation.h"
#include "quota.h"
#include "state_parts.h"

namespace sassafras {
namespace {

using Stage = CallState::Stage;
using Record = IdempotencyTable::Record;

/** A caller that allows more time, or states no limit, is taken to wait this long. */
constexpr std::chrono::hours kMaxCallerWait{1};
/** Time to answer a call whose deadline has passed before the process of a leaving instance ends. */
constexpr std::chrono::milliseconds kLastAnswerTime{100};

TimePoint ReceivedAt(const Event::CallArrived& event) {
  return event.received_at == TimePoint() ? event.now : event.received_at;
}

/** Returns the time until which the caller waits, by what it stated. */
TimePoint CallerDeadline(const Event::CallArrived& event) {
  return ReceivedAt(event) + std::min<Duration>(event.time_left, kMaxCallerWait);
}

/** Returns the time until which the call may run: what its caller and its plan allow. */
TimePoint DeadlineOf(StateParts& parts, const Event::CallArrived& event) {
  return ReceivedAt(event) + std::min<Duration>(event.time_left, parts.At(event.plan).config.deadline);
}

/** Whether the call might still run when the process of this leaving instance ends. */
bool MayOutliveProcess(StateParts& parts, const Event::CallArrived& event) {
  const bool leaving = event.now >= parts.admit_short_calls_from;
  return leaving && DeadlineOf(parts, event) + kLastAnswerTime > parts.ends_at;
}

/** Returns how long the caller has been trying, if this instance rejected it before. */
Duration SpentBefore(const StateParts& parts, const Event::CallArrived& event) {
  return parts.rejected_calls.SpentBefore(event.fingerprint, CallerDeadline(event), event.now);
}

void Reject(StateParts& parts, const Event::CallArrived& event, Reason reason, Effects& effects) {
  effects.push_back(Effect::Reject{event.ticket, reason, {}, RandomRetryAfter(parts, reason, event.time_left)});
}

/** Rejects a call that was not accepted yet, and counts it for its plan. */
void RejectCounted(StateParts& parts, const Event::CallArrived& event, Reason reason, Effects& effects) {
  CallState call;
  call.plan = event.plan;
  const bool not_run = InfoOf(reason).outcome == Outcome::kNotRun;
  CountOutcome(parts, call, not_run ? &PlanCounters::not_run : &PlanCounters::unknown, event.now);
  parts.rejected_calls.Record(event.fingerprint, event.now, CallerDeadline(event), SpentBefore(parts, event));
  Reject(parts, event, reason, effects);
}

/** Priority of a call: that of its account, if it has one, else that of its plan. */
uint8_t PriorityOf(StateParts& parts, const Event::CallArrived& event) {
  if (parts.accounts.IsActive(event.account) && parts.At(event.account).config.has_priority)
    return parts.At(event.account).config.priority;
  return parts.At(event.plan).config.priority;
}

/** Whether the call must carry an API key of an account. */
bool NeedsKey(StateParts& parts, const Event::CallArrived& event) {
  return parts.HasAccounts() && !parts.At(event.plan).config.is_public;
}

/** Returns why the API key of the call, or its lack, forbids the call; nothing if it may run. */
std::optional<Reason> KeyRejection(StateParts& parts, const Event::CallArrived& event) {
  if (!NeedsKey(parts, event))
    return std::nullopt;
  const bool confirmed = AreKeysConfirmed(parts, event.now);
  if (parts.accounts.IsActive(event.account))
    return confirmed ? std::nullopt : std::optional(Reason::kKeysNotConfirmed);
  // An account that this instance does not know may hold the key.
  const bool known = confirmed && parts.lists.AreCurrent(event.now) && !parts.lists.lack_accounts;
  return known ? Reason::kUnauthorized : Reason::kListsNotCurrent;
}

/** Updates the time that callers of the plan usually allow by what one of them stated, if it did. */
void LearnCallerWait(PlanState& plan, Duration stated) {
  constexpr int kDecline = 256;
  if (stated >= kMaxCallerWait)
    return;
  Duration& usual = plan.usual_caller_wait;
  usual = stated > usual ? stated : usual - (usual - stated) / kDecline;
}

CallHandle Accept(StateParts& parts, const Event::CallArrived& event, Effects& effects) {
  const CallHandle handle = parts.calls.Add();
  CallState& call = *parts.calls.Find(handle);
  call.plan = event.plan;
  call.terms = TermsOf(parts.At(event.plan).config);
  if (NeedsKey(parts, event)) {
    call.account = event.account;
    call.api_key_hash = event.api_key_hash;
  }
  call.priority = PriorityOf(parts, event);
  call.ticket = event.ticket;
  call.fingerprint = event.fingerprint;
  call.replayable = event.replayable;
  call.arrived_at = event.now;
  call.spent_before = SpentBefore(parts, event);
  call.deadline = DeadlineOf(parts, event);
  call.caller_deadline = CallerDeadline(event);
  LearnCallerWait(parts.At(event.plan), call.caller_deadline - call.arrived_at);
  effects.push_back(Effect::Accepted{event.ticket, handle});
  return handle;
}

/** Dispatches the call, or queues it if other calls are waiting already. */
void DispatchOrEnqueue(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects) {
  const CallState& call = *parts.calls.Find(handle);
  const bool others_wait = !parts.ServiceOf(call).QueueFor(call.terms.work).Empty();
  if (others_wait)
    Enqueue(parts, handle, now, effects);
  else
    DispatchQueueOrReject(parts, handle, Reason::kNoEndpoint, now, effects);
}

/** Rejects a call whose key is owned by another instance: redirects it there unless that instance is gone. */
void RejectOtherOwner(StateParts& parts, const Event::CallArrived& event, Effects& effects) {
  const Idempotency& key = event.idempotency;
  const Membership::Entry* owner = parts.members.Find(key.owner);
  const bool owner_alive = owner != nullptr && owner->member.incarnation == key.owner_incarnation;
  if (!owner_alive) {
    RejectCounted(parts, event, Reason::kOwnerGone, effects);
    return;
  }
  effects.push_back(Effect::Reject{event.ticket, Reason::kRedirectToOwner, owner->member.address});
}

/** Handles a call whose key has a record: returns the recorded answer, waits for it, or rejects the call. */
void JoinRecord(StateParts& parts, const Event::CallArrived& event, uint32_t position, Effects& effects) {
  Record& record = parts.records.At(position);
  if (record.stage == Record::Stage::kUnknown) {
    RejectCounted(parts, event, Reason::kEarlierRunUnknown, effects);
    return;
  }
  if (record.stage == Record::Stage::kAnswered && record.answer == nullptr) {
    RejectCounted(parts, event, Reason::kAnswerNotKept, effects);
    return;
  }
  if (record.stage == Record::Stage::kAnswered) {
    effects.push_back(Effect::SendRecordedAnswer{event.ticket, record.answer});
    return;
  }
  const CallHandle handle = Accept(parts, event, effects);
  CallState& call = *parts.calls.Find(handle);
  call.stage = Stage::kWaitingForRecord;
  call.next_waiter = std::exchange(record.first_waiter, handle);
}

/**
 * Decides whether a call with an idempotency key may run here, and adds its record.
 * @return the position of the new record, or kNone if the call was rejected, answered or joined to an earlier record
 */
uint32_t AdmitKeyedCall(StateParts& parts, const Event::CallArrived& event, Effects& effects) {
  const Idempotency& key = event.idempotency;
  const uint32_t epoch = parts.EpochAt(event.now);
  Reason reason = Reason::kRecordsFull;
  if (key.owner != parts.self.name) {
    RejectOtherOwner(parts, event, effects);
    return IdempotencyTable::kNone;
  }
  if (key.owner_incarnation != parts.self.incarnation) {
    RejectCounted(parts, event, Reason::kOwnerGone, effects);
    return IdempotencyTable::kNone;
  }
  if (!IdempotencyTable::IsTokenValid(key.owner_epoch, epoch)) {
    reason = key.owner_epoch > epoch ? Reason::kBadOwner : Reason::kRecordExpired;
    RejectCounted(parts, event, reason, effects);
    return IdempotencyTable::kNone;
  }
  const IdempotencyTable::Key record_key{key.key_high, key.key_low};
  const uint32_t known = parts.records.Find(record_key);
  if (known != IdempotencyTable::kNone) {
    JoinRecord(parts, event, known, effects);
    return IdempotencyTable::kNone;
  }
  const uint32_t position = parts.records.Add(record_key, key.owner_epoch);
  if (position == IdempotencyTable::kNone)
    RejectCounted(parts, event, reason, effects);
  return position;
}

/** Chooses a branch by smooth weighted round robin: the one with the highest credit. */
PlanBranch& ChooseBranch(PlanState& plan) {
  double total = 0;
  size_t best = 0;
  for (size_t i = 0; i < plan.branches.size(); ++i) {
    PlanBranch& branch = plan.branches[i];
    branch.credit += branch.weight;
    total += branch.weight;
    if (branch.credit > plan.branches[best].credit)
      best = i;
  }
  plan.branches[best].credit -= total;
  return plan.branches[best];
}

/** Adds to the retry and hedge budgets of every service that the plan may use. */
void EarnAttemptBudgets(StateParts& parts, const PlanState& plan) {
  for (const PlanBranch& branch : plan.branches) {
    parts.At(branch.service).retry_budget.Earn();
    parts.At(branch.service).hedge_budget.Earn();
  }
}

}  // namespace

void OnCallArrived(StateParts& parts, const Event::CallArrived& event, Effects& effects) {
  if (parts.phase == Phase::kStarting) {
    Reject(parts, event, Reason::kNotReady, effects);
    return;
  }
  if (event.now >= parts.admit_until) {
    Reject(parts, event, Reason::kStopping, effects);
    return;
  }
  if (!event.plan.IsValid() || !parts.At(event.plan).active) {
    Reject(parts, event, parts.lists.AreCurrent(event.now) ? Reason::kNoPlan : Reason::kListsNotCurrent, effects);
    return;
  }
  if (MayOutliveProcess(parts, event)) {
    RejectCounted(parts, event, Reason::kStopping, effects);
    return;
  }
  PlanState& plan = parts.At(event.plan);
  if (const auto reason = KeyRejection(parts, event)) {
    ++parts.keys.rejected_calls;
    RejectCounted(parts, event, *reason, effects);
    return;
  }
  if (parts.quarantine.IsQuarantined(event.fingerprint, event.now)) {
    RejectCounted(parts, event, Reason::kQuarantined, effects);
    return;
  }
  const PlanBranch& branch = ChooseBranch(plan);
  if (parts.CandidatesOf(plan, branch).empty()) {
    RejectCounted(parts, event, Reason::kNoEndpoint, effects);
    return;
  }
  uint32_t record = CallState::kNoRecord;
  if (event.idempotency.present && plan.config.repeat == Repeat::kNever) {
    record = AdmitKeyedCall(parts, event, effects);
    if (record == IdempotencyTable::kNone)
      return;
  }
  EarnAttemptBudgets(parts, plan);
  const CallHandle handle = Accept(parts, event, effects);
  parts.calls.Find(handle)->record = record;
  parts.calls.Find(handle)->service = branch.service;
  EarnHedgeAllowance(parts, *parts.calls.Find(handle));
  if (AcquireQuota(parts, handle, event.now, effects))
    ContinueAdmitted(parts, handle, event.now, effects);
}

void ContinueAdmitted(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects) {
  // A retry does not wait behind new calls.
  if (parts.calls.Find(handle)->attempts > 0)
    DispatchQueueOrReject(parts, handle, Reason::kNoEndpoint, now, effects);
  else
    DispatchOrEnqueue(parts, handle, now, effects);
}

void OnCallerGone(StateParts& parts, const Event::CallerGone& event, Effects& effects) {
  CallState* call = parts.calls.Find(event.call);
  if (call == nullptr)
    return;
  if (call->stage == Stage::kWaitingForRecord) {
    // The call cannot be unlinked from the middle of the record's list of waiters, so it stays until the record
    // settles.
    call->ticket = 0;
    return;
  }
  if (call->stage == Stage::kRunning) {
    // A request that must not be repeated runs to its end, because its caller may still fetch the answer with its key.
    if (call->terms.repeat == Repeat::kNever)
      return;
    EndCancelled(parts, event.call, true, event.now, effects);
    return;
  }
  EndCancelled(parts, event.call, call->may_have_run, event.now, effects);
}

}  // namespace sassafras
