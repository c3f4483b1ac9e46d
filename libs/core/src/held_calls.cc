#include "held_calls.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>
#include <tuple>
#include <utility>
#include <vector>

#include "call_end.h"
#include "dispatch.h"
#include "latency_estimate.h"
#include "selection.h"
#include "slot_admission.h"
#include "state_parts.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/** The objective latency of the plan divided by this is the result of MaxProbeWait(). */
constexpr int kObjectiveLatencyDivisor = 8;
/** Delay before a call whose estimates were all too high probes again. */
constexpr milliseconds kReprobeDelay{12};
/** Minimum fill level of the budget at which calls may probe more than once. */
constexpr double kReprobeBudgetLevel = 0.5;

/** Whether the call waits for a slot to become free or for its next probes. */
bool IsHeld(const CallState* call) {
  return call != nullptr && call->stage == CallState::Stage::kProbing && call->reprobe_pending;
}

/**
 * Removes a call of the account that holds the most calls, so that one account cannot take all places of the others.
 * @return false if no account holds more calls than that of `call`, or only more urgent ones
 */
bool MakeRoom(StateParts& parts, std::vector<CallHandle>& held, const CallState& call) {
  if (parts.accounts.Empty())
    return false;
  std::array<uint32_t, kMaxHeldCalls> accounts{};
  for (size_t i = 0; i < accounts.size(); ++i)
    accounts[i] = parts.calls.Find(held[i])->account.Index();
  std::sort(accounts.begin(), accounts.end());
  std::ptrdiff_t own = 0;
  std::ptrdiff_t most = 0;
  uint32_t account = 0;
  for (auto first = accounts.begin(); first != accounts.end();) {
    const auto last = std::upper_bound(first, accounts.end(), *first);
    if (*first == call.account.Index())
      own = last - first;
    if (last - first > most) {
      most = last - first;
      account = *first;
    }
    first = last;
  }
  if (own + 1 >= most)
    return false;
  const auto newest = std::find_if(held.rbegin(), held.rend(), [&](CallHandle handle) {
    const CallState& other = *parts.calls.Find(handle);
    return other.account.Index() == account && other.priority >= call.priority;
  });
  if (newest == held.rend())
    return false;
  held.erase(std::next(newest).base());
  return true;
}

/** Lets answers dispatch the held call, unless there are kMaxHeldCalls of them; returns whether they may. */
bool AddHeld(StateParts& parts, ServiceState& service, CallHandle handle, TimePoint now) {
  std::vector<CallHandle>& held = service.held_calls;
  std::erase_if(held, [&](CallHandle other) { return other == handle || !IsHeld(parts.calls.Find(other)); });
  if (held.size() >= kMaxHeldCalls && !MakeRoom(parts, held, *parts.calls.Find(handle)))
    return false;
  held.push_back(handle);
  CallState& call = *parts.calls.Find(handle);
  if (!parts.accounts.Empty() && !std::exchange(call.was_held, true))
    service.fairness.RecordHeld(call.account, now);
  return true;
}

}  // namespace

Duration MaxProbeWait(const CallState& call) {
  return call.terms.objective_latency / kObjectiveLatencyDivisor;
}

bool HoldForBetter(StateParts& parts,
                   CallHandle handle,
                   EndpointHandle endpoint,
                   float estimate,
                   TimePoint now,
                   Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  const Duration max_hold = MaxProbeWait(call);
  if (now + kReprobeDelay - call.arrived_at > max_hold)
    return false;
  const bool may_reprobe = parts.load_probe_budget.FillLevel() >= kReprobeBudgetLevel;
  if (!may_reprobe && !WouldWasteSlot(parts, call, endpoint, estimate, now))
    return false;
  // Without probes, only an answer could end the wait in time.
  if (!AddHeld(parts, parts.ServiceOf(call), handle, now) && !may_reprobe)
    return false;
  call.reprobe_pending = true;
  call.decide_at = may_reprobe ? now + kReprobeDelay : call.arrived_at + max_hold;
  effects.push_back(Effect::ArmProbeWaitTimer{call.ticket, call.decide_at});
  return true;
}

namespace {

/** Place of a call in the order in which calls get free slots; lower ones are first. */
struct SlotRank {
  uint8_t priority = 0;
  AccountFairness::Rank account;
  bool operator<(const SlotRank& other) const {
    return std::tie(priority, account) < std::tie(other.priority, other.account);
  }
};

SlotRank RankOf(const StateParts& parts, const ServiceState& service, const CallState& call) {
  const bool by_account = !parts.accounts.Empty();
  return {call.priority, by_account ? service.fairness.RankOf(call.account) : AccountFairness::Rank()};
}

/**
 * Finds the held call that is next and would end in time at the endpoint.
 * @param estimate_of  returns the estimated duration of a call there, in microseconds
 */
template <typename Estimate>
CallHandle NextHeldCall(StateParts& parts,
                        const ServiceState& service,
                        EndpointHandle endpoint,
                        Estimate estimate_of,
                        TimePoint now) {
  CallHandle next;
  SlotRank next_rank;
  for (const CallHandle handle : service.held_calls) {
    const CallState* call = parts.calls.Find(handle);
    if (!IsHeld(call) || !IsEligible(parts, *call, endpoint, now))
      continue;
    if (estimate_of(*call) > MaxAcceptableLatency(*call, now))
      continue;
    const SlotRank rank = RankOf(parts, service, *call);
    // Of two calls with the same rank, the one held longer comes first in the list.
    if (parts.calls.Find(next) != nullptr && !(rank < next_rank))
      continue;
    next = handle;
    next_rank = rank;
  }
  return next;
}

void DispatchHeld(StateParts& parts, CallHandle handle, EndpointHandle endpoint, TimePoint now, Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  ServiceState& service = parts.ServiceOf(call);
  call.reprobe_pending = false;
  service.fairness.Advance(RankOf(parts, service, call).account);
  Dispatch(parts, handle, endpoint, now, effects);
}

}  // namespace

void DispatchHeldCall(StateParts& parts,
                      EndpointHandle endpoint,
                      const LoadReport& load,
                      TimePoint now,
                      Effects& effects) {
  const EndpointState& state = parts.At(endpoint);
  if (!load.present || !state.service.IsValid() || parts.At(state.service).held_calls.empty())
    return;
  if (!HasFreeSlot(state, load))
    return;
  const auto estimate_of = [&](const CallState& call) {
    return EstimateLatency(parts, call, endpoint, load, now) / AversionFactor(state);
  };
  const CallHandle next = NextHeldCall(parts, parts.At(state.service), endpoint, estimate_of, now);
  if (parts.calls.Find(next) != nullptr)
    DispatchHeld(parts, next, endpoint, now, effects);
}

bool YieldToHeldCall(StateParts& parts,
                     CallHandle handle,
                     EndpointHandle endpoint,
                     float estimate,
                     TimePoint now,
                     Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  ServiceState& service = parts.ServiceOf(call);
  if (parts.accounts.Empty() || service.held_calls.empty() || call.attempts > 0)
    return false;
  const TimePoint hold_until = call.arrived_at + MaxProbeWait(call);
  if (now + kReprobeDelay > hold_until)
    return false;
  const float latency = estimate / AversionFactor(parts.At(endpoint));
  const CallHandle next = NextHeldCall(
      parts, service, endpoint, [latency](const CallState&) { return latency; }, now);
  const CallState* other = parts.calls.Find(next);
  if (other == nullptr || !(RankOf(parts, service, *other) < RankOf(parts, service, call)))
    return false;
  DispatchHeld(parts, next, endpoint, now, effects);
  const bool may_reprobe = parts.load_probe_budget.FillLevel() >= kReprobeBudgetLevel;
  if (!AddHeld(parts, service, handle, now) && !may_reprobe) {
    EndRejected(parts, handle, Reason::kOverloaded, now, effects);
    return true;
  }
  call.reprobe_pending = true;
  call.decide_at = may_reprobe ? now + kReprobeDelay : hold_until;
  effects.push_back(Effect::ArmProbeWaitTimer{call.ticket, call.decide_at});
  return true;
}

}  // namespace sassafras
