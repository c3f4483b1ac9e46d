#include "dispatch.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <utility>

#include "call_end.h"
#include "hedge_policy.h"
#include "key_confirmation.h"
#include "load_probing.h"
#include "probe_results.h"
#include "quota.h"
#include "selection.h"
#include "state_parts.h"

namespace sassafras {
namespace {

using Stage = CallState::Stage;

/** Maximum number of calls at the head of a queue that are skipped because their own endpoints are full. */
constexpr size_t kMaxSkippedCalls = 8;

bool IsRevalidating(const StateParts& parts, TimePoint now) {
  return now < parts.lists.revalidate_until;
}

/** Ends a waiting call whose deadline has passed. */
void RejectExpired(StateParts& parts, const WaitQueue::Entry& entry, TimePoint now, Effects& effects) {
  EndRejected(parts, entry.call, Reason::kDeadlineBeforeStart, now, effects);
}

void DispatchFromQueue(StateParts& parts, ServiceState& service, WaitQueue& queue, TimePoint now, Effects& effects) {
  std::array<WaitQueue::Entry, kMaxSkippedCalls> skipped;
  size_t skipped_count = 0;
  while (!queue.Empty() && skipped_count < kMaxSkippedCalls) {
    const WaitQueue::Entry entry = queue.Top();
    queue.Pop();
    const CallState* call = parts.calls.Find(entry.call);
    if (call == nullptr || call->stage != Stage::kWaiting)
      continue;
    if (now >= entry.deadline) {
      RejectExpired(parts, entry, now, effects);
      continue;
    }
    if (TryDispatch(parts, entry.call, now, effects))
      service.virtual_time = std::max(service.virtual_time, entry.virtual_finish);
    else if (parts.options.ask_first && !IsRevalidating(parts, now))
      EndRejected(parts, entry.call, Reason::kNoEndpoint, now, effects);
    else
      skipped[skipped_count++] = entry;
  }
  for (size_t i = 0; i < skipped_count; ++i)
    queue.Push(skipped[i]);
}

/** Returns the basis of the choice of the call's latest attempt; `state` is that of its endpoint. */
DispatchBasis AttemptBasis(const CallState& call, const EndpointState& state, TimePoint now) {
  DispatchBasis basis = ProbeBasis(call);
  basis.hedge = call.attempts_outstanding > 1;
  const EndpointHandle chosen = call.tried[call.attempts - 1u];
  for (size_t i = 0; i < call.probed_count; ++i) {
    const float estimate = call.estimates_us[i];
    if (call.probed[i] == chosen && !std::isinf(estimate))
      basis.estimate = std::chrono::microseconds(static_cast<int64_t>(estimate));
  }
  basis.slowdown = state.slowdown;
  basis.utilization = call.utilizations[call.attempts - 1u];
  if (state.reported_at != TimePoint())
    basis.report_age = std::chrono::duration_cast<std::chrono::microseconds>(now - state.reported_at);
  return basis;
}

}  // namespace

size_t MaxAttempts(const CallState& call) {
  return std::min<size_t>(CallState::kMaxAttempts, call.terms.max_attempts);
}

bool MayRepeat(StateParts& parts, const CallState& call) {
  return call.terms.repeat == Repeat::kSafe && parts.At(call.plan).config.repeat == Repeat::kSafe;
}

void Dispatch(StateParts& parts, CallHandle handle, EndpointHandle endpoint, TimePoint now, Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  if (call.attempts_outstanding == 0 && RejectIfKeyForbids(parts, handle, now, effects))
    return;
  EndpointState& state = parts.At(endpoint);
  if (state.in_flight == 0)
    state.progress_at = now;
  state.dispatched_at = now;
  ++state.in_flight;
  call.tried[call.attempts] = endpoint;
  call.dispatched_at[call.attempts] = now;
  call.reported_slowdowns[call.attempts] = state.slowdown;
  call.utilizations[call.attempts] = ProbedUtilization(call, endpoint);
  ++call.attempts;
  ++call.attempts_outstanding;
  call.stage = Stage::kRunning;
  ServiceState& service = parts.ServiceOf(call);
  if (!parts.accounts.Empty() && !service.held_calls.empty())
    service.fairness.RecordSlot(call.account, parts.accounts.WeightOf(call.account),
                                std::exchange(call.was_held, false), now);
  SpendQuota(parts, call, now);
  const TimePoint hedge_at = HedgeTime(parts, call, now);
  const bool record_answer = call.record != CallState::kNoRecord;
  effects.push_back(Effect::Dispatch{call.ticket, handle, endpoint, call.deadline, hedge_at, record_answer,
                                     AttemptBasis(call, state, now)});
}

bool TryDispatch(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects) {
  // A call whose key has become invalid need not wait for an endpoint.
  if (RejectIfKeyForbids(parts, handle, now, effects))
    return true;
  CallState& call = *parts.calls.Find(handle);
  if (IsRevalidating(parts, now))
    return false;
  // The call waits for a token or was rejected.
  if (!AcquireQuota(parts, handle, now, effects))
    return true;
  if (parts.options.ask_first)
    return StartLoadProbing(parts, handle, now, effects);
  Selector selector(parts, parts.At(call.plan), call, now);
  const EndpointHandle endpoint = selector.Choose(parts.options.selection);
  if (!endpoint.IsValid())
    return false;
  Dispatch(parts, handle, endpoint, now, effects);
  return true;
}

void DispatchQueueOrReject(StateParts& parts, CallHandle handle, Reason reason, TimePoint now, Effects& effects) {
  if (TryDispatch(parts, handle, now, effects))
    return;
  if (parts.options.ask_first && !IsRevalidating(parts, now))
    EndRejected(parts, handle, reason, now, effects);
  else
    Enqueue(parts, handle, now, effects);
}

void Enqueue(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  PlanState& plan = parts.At(call.plan);
  ServiceState& service = parts.ServiceOf(call);
  WaitQueue& queue = service.QueueFor(call.terms.work);
  if (queue.Size() >= parts.options.queue_limit) {
    const auto evicted = queue.EvictLessUrgent(call.priority);
    if (!evicted.has_value()) {
      EndRejected(parts, handle, Reason::kOverloaded, now, effects);
      return;
    }
    if (parts.calls.Find(evicted->call) != nullptr)
      EndRejected(parts, evicted->call, Reason::kOverloaded, now, effects);
  }
  call.stage = Stage::kWaiting;
  plan.virtual_finish = std::max(plan.virtual_finish, service.virtual_time) + 1.0 / plan.config.share;
  queue.Push({call.priority, plan.virtual_finish, call.deadline, handle});
}

void DispatchWaiting(StateParts& parts, ServiceState& service, TimePoint now, Effects& effects) {
  for (WaitQueue& queue : service.queues) {
    if (!queue.Empty())
      DispatchFromQueue(parts, service, queue, now, effects);
  }
}

void RejectExpiredWaiting(StateParts& parts, ServiceState& service, TimePoint now, Effects& effects) {
  for (WaitQueue& queue : service.queues) {
    queue.RemoveIf([&](const WaitQueue::Entry& entry) {
      const CallState* call = parts.calls.Find(entry.call);
      if (call == nullptr || call->stage != Stage::kWaiting)
        return true;
      if (now >= entry.deadline)
        RejectExpired(parts, entry, now, effects);
      else if (now >= parts.admit_until)
        EndRejected(parts, entry.call, Reason::kStopping, now, effects);
      else
        return false;
      return true;
    });
  }
}

size_t CountWaiting(const StateParts& parts) {
  size_t count = 0;
  for (const ServiceState& service : parts.services) {
    for (const WaitQueue& queue : service.queues)
      count += queue.Size();
  }
  return count;
}

}  // namespace sassafras
