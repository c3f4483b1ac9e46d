#include "held_calls.h"

#include <chrono>
#include <vector>

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

/** Lets answers dispatch the held call, unless there are kMaxHeldCalls of them; returns whether they may. */
bool AddHeld(StateParts& parts, ServiceState& service, CallHandle handle) {
  std::vector<CallHandle>& held = service.held_calls;
  std::erase_if(held, [&](CallHandle other) { return other == handle || !IsHeld(parts.calls.Find(other)); });
  if (held.size() >= kMaxHeldCalls)
    return false;
  held.push_back(handle);
  return true;
}

}  // namespace

Duration MaxProbeWait(StateParts& parts, const CallState& call) {
  return parts.At(call.plan).config.objective_latency / kObjectiveLatencyDivisor;
}

bool HoldForBetter(StateParts& parts,
                   CallHandle handle,
                   EndpointHandle endpoint,
                   float estimate,
                   TimePoint now,
                   Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  const Duration max_hold = MaxProbeWait(parts, call);
  if (now + kReprobeDelay - call.arrived_at > max_hold)
    return false;
  const bool may_reprobe = parts.load_probe_budget.FillLevel() >= kReprobeBudgetLevel;
  if (!may_reprobe && !WouldWasteSlot(parts, call, endpoint, estimate, now))
    return false;
  // Without probes, only an answer could end the wait in time.
  if (!AddHeld(parts, parts.ServiceOf(call), handle) && !may_reprobe)
    return false;
  call.reprobe_pending = true;
  call.decide_at = may_reprobe ? now + kReprobeDelay : call.arrived_at + max_hold;
  effects.push_back(Effect::ArmProbeWaitTimer{call.ticket, call.decide_at});
  return true;
}

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
  CallHandle chosen;
  for (const CallHandle handle : parts.At(state.service).held_calls) {
    const CallState* call = parts.calls.Find(handle);
    if (!IsHeld(call) || !IsEligible(parts, *call, endpoint, now))
      continue;
    const float estimate = EstimateLatency(parts, *call, endpoint, load, now) / AversionFactor(state);
    if (estimate > MaxAcceptableLatency(parts, *call, now))
      continue;
    const CallState* other = parts.calls.Find(chosen);
    if (other == nullptr || call->priority < other->priority)
      chosen = handle;
  }
  if (CallState* call = parts.calls.Find(chosen)) {
    call->reprobe_pending = false;
    Dispatch(parts, chosen, endpoint, now, effects);
  }
}

}  // namespace sassafras
