#include "call_end.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <utility>

#include "probe_results.h"
#include "quota.h"
#include "state_parts.h"

namespace sassafras {
namespace {

using Record = IdempotencyTable::Record;

/** Maximum remaining time of a call that is used to compute its retry delay. */
constexpr std::chrono::seconds kMaxRetryDelayBase{10};

/** Removes a call that waits for a record; returns the next call that waits for it. */
CallHandle RemoveWaiter(StateParts& parts, CallHandle handle) {
  const CallHandle next = parts.calls.Find(handle)->next_waiter;
  parts.calls.Remove(handle);
  return next;
}

void AnswerWaiters(StateParts& parts, uint32_t position, TimePoint now, Effects& effects) {
  Record& record = parts.records.At(position);
  CallHandle waiter = std::exchange(record.first_waiter, CallHandle());
  while (const CallState* call = parts.calls.Find(waiter)) {
    if (record.answer != nullptr) {
      CountOutcome(parts, *call, &PlanCounters::good, now);
      effects.push_back(Effect::SendRecordedAnswer{call->ticket, record.answer});
    } else {
      CountOutcome(parts, *call, &PlanCounters::unknown, now);
      effects.push_back(Effect::Reject{call->ticket, Reason::kAnswerNotKept, {}});
    }
    waiter = RemoveWaiter(parts, waiter);
  }
}

void RejectWaiters(StateParts& parts, uint32_t position, Reason reason, TimePoint now, Effects& effects) {
  CallHandle waiter = std::exchange(parts.records.At(position).first_waiter, CallHandle());
  const bool not_run = InfoOf(reason).outcome == Outcome::kNotRun;
  const Reason waiter_reason = not_run ? reason : Reason::kEarlierRunUnknown;
  while (const CallState* call = parts.calls.Find(waiter)) {
    CountOutcome(parts, *call, not_run ? &PlanCounters::not_run : &PlanCounters::unknown, now);
    effects.push_back(Effect::Reject{call->ticket, waiter_reason, {}});
    waiter = RemoveWaiter(parts, waiter);
  }
}

/**
 * Settles the record of a call that ended without an answer: removes it if the request did not run, otherwise keeps it
 * so that the request is not run again.
 */
void SettleRecord(StateParts& parts, uint32_t position, Reason reason, TimePoint now, Effects& effects) {
  if (position == CallState::kNoRecord)
    return;
  RejectWaiters(parts, position, reason, now, effects);
  if (InfoOf(reason).outcome == Outcome::kNotRun)
    parts.records.Remove(position);
  else
    parts.records.At(position).stage = Record::Stage::kUnknown;
}

}  // namespace

void CountOutcome(StateParts& parts, const CallState& call, uint64_t PlanCounters::*field, TimePoint now) {
  PlanState& plan = parts.At(call.plan);
  plan.totals.*field += 1;
  if (plan.history == nullptr)
    plan.history = std::make_unique<OutcomeHistory>();
  plan.history->Add(field, now);
}

void EndAnswered(StateParts& parts,
                 CallHandle handle,
                 bool failure_status,
                 std::shared_ptr<const RecordedAnswer> answer,
                 TimePoint now,
                 Effects& effects) {
  const CallState call = *parts.calls.Find(handle);
  const bool slow = now - call.arrived_at > call.terms.objective_latency;
  if (failure_status)
    CountOutcome(parts, call, &PlanCounters::failed, now);
  else
    CountOutcome(parts, call, slow ? &PlanCounters::slow : &PlanCounters::good, now);
  parts.calls.Remove(handle);
  if (call.record == CallState::kNoRecord)
    return;
  parts.records.StoreAnswer(call.record, std::move(answer));
  AnswerWaiters(parts, call.record, now, effects);
}

namespace {

/** Returns the number of probe answers and the best estimate among them. */
DispatchBasis RejectionBasis(const CallState& call) {
  DispatchBasis basis = ProbeBasis(call);
  const auto end = call.estimates_us.begin() + call.probed_count;
  if (basis.answered > 0) {
    const float best = *std::min_element(call.estimates_us.begin(), end);
    basis.estimate = std::chrono::microseconds(static_cast<int64_t>(best));
  }
  return basis;
}

/**
 * Returns the time until the first of the endpoints that the call may use wants requests again; zero if one of them
 * does already, or if there are none.
 */
std::chrono::milliseconds HoldOffLeft(StateParts& parts, const CallState& call, TimePoint now) {
  TimePoint first = TimePoint::max();
  for (const EndpointHandle endpoint : parts.CandidatesOf(call)) {
    const EndpointState& state = parts.At(endpoint);
    if (state.active && !state.leaving)
      first = std::min(first, state.held_off_until);
  }
  if (first == TimePoint::max() || first <= now)
    return {};
  return std::chrono::ceil<std::chrono::milliseconds>(first - now);
}

/** Returns the retry delay of a rejected call: exact if all endpoints hold off requests, otherwise random. */
std::chrono::milliseconds RetryAfter(StateParts& parts, const CallState& call, Reason reason, TimePoint now) {
  if (reason == Reason::kOverQuota)
    return RecordOverQuota(parts, call.account, now);
  const auto random = RandomRetryAfter(parts, reason, call.caller_deadline - now);
  const bool not_run = InfoOf(reason).outcome == Outcome::kNotRun;
  const auto held_off = not_run ? HoldOffLeft(parts, call, now) : std::chrono::milliseconds::zero();
  return held_off > std::chrono::milliseconds::zero() ? held_off : random;
}

}  // namespace

std::chrono::milliseconds RandomRetryAfter(StateParts& parts, Reason reason, Duration left) {
  left = std::min<Duration>(left, kMaxRetryDelayBase);
  const auto random_part = [&](double low, double high) {
    const double part = std::uniform_real_distribution<double>(low, high)(parts.random);
    return std::chrono::duration_cast<std::chrono::milliseconds>(left * part);
  };
  switch (reason) {
    case Reason::kOverloaded:
      return random_part(0.15, 0.33);
    case Reason::kListsNotCurrent:
    case Reason::kStopping:
    case Reason::kRefusedByUpstreams:
    case Reason::kConnectFailed:
      return random_part(0.03, 0.12);
    case Reason::kNoEndpoint:
    case Reason::kKeysNotConfirmed:
      return random_part(0.1, 0.3);
    default:
      return {};
  }
}

void EndRejected(StateParts& parts, CallHandle handle, Reason reason, TimePoint now, Effects& effects) {
  const CallState call = *parts.calls.Find(handle);
  // An earlier attempt may have run, whatever kept this instance from the next one.
  if (call.may_have_run && InfoOf(reason).outcome == Outcome::kNotRun)
    reason = Reason::kConnectionBroken;
  const bool not_run = InfoOf(reason).outcome == Outcome::kNotRun;
  CountOutcome(parts, call, not_run ? &PlanCounters::not_run : &PlanCounters::unknown, now);
  ReturnQuota(parts, call, now);
  parts.rejected_calls.Record(call.fingerprint, call.arrived_at, call.caller_deadline, call.spent_before);
  const auto retry_after = RetryAfter(parts, call, reason, now);
  effects.push_back(Effect::Reject{call.ticket, reason, {}, retry_after, RejectionBasis(call)});
  parts.calls.Remove(handle);
  SettleRecord(parts, call.record, reason, now, effects);
}

void EndCancelled(StateParts& parts, CallHandle handle, bool may_have_run, TimePoint now, Effects& effects) {
  const CallState call = *parts.calls.Find(handle);
  CountOutcome(parts, call, &PlanCounters::cancelled, now);
  ReturnQuota(parts, call, now);
  parts.calls.Remove(handle);
  // Only calls that wait for the record get this reason; kDeadlineBeforeStart says that the request did not run.
  SettleRecord(parts, call.record, may_have_run ? Reason::kEarlierRunUnknown : Reason::kDeadlineBeforeStart, now,
               effects);
}

}  // namespace sassafras
