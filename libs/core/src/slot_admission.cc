#include "slot_admission.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "endpoint_learning.h"
#include "latency_estimate.h"
#include "probe_results.h"
#include "state_parts.h"

namespace sassafras {
namespace {

using FloatMicros = std::chrono::duration<float, std::micro>;

/**
 * A call is sent to a full endpoint only if by its estimate it ends within this fraction of the objective latency,
 * counted from its arrival.
 */
constexpr float kMaxObjectiveFractionWhenFull = 0.75F;
/** Share of probed endpoints without a free slot above which free slots of the service are scarce. */
constexpr float kScarceFullShare = 0.5F;

/** Returns the share of probed endpoints without a free slot; it halves quickly, so that a crest is soon forgotten. */
float FullShareAt(const ServiceState& service, TimePoint now) {
  constexpr std::chrono::duration<float> kHalfLife{0.3F};
  const std::chrono::duration<float> age = now - service.full_share_at;
  return service.full_share * std::exp2(-(age / kHalfLife));
}

}  // namespace

void RecordProbedUtilization(ServiceState& service, float utilization, TimePoint now) {
  service.full_share = FullShareAt(service, now);
  service.full_share_at = now;
  UpdateRate(service.full_share, utilization > kAllSlots);
}

bool AreSlotsScarce(const ServiceState& service, TimePoint now) {
  return FullShareAt(service, now) > kScarceFullShare;
}

float MaxAcceptableLatency(const CallState& call, TimePoint now) {
  const float left = FloatMicros(call.deadline - now).count();
  const float objective = FloatMicros(call.terms.objective_latency).count();
  // The objective counts from the caller's first try. A caller that comes back after a rejection has missed it, and a
  // slot given to it would make another caller miss it too.
  const float elapsed = FloatMicros(now - call.arrived_at + call.spent_before).count();
  return std::min(left, kMaxObjectiveFractionWhenFull * objective - elapsed);
}

bool WouldWasteSlot(StateParts& parts, const CallState& call, EndpointHandle endpoint, float estimate, TimePoint now) {
  // An endpoint that fails often is a bad choice, but its answers take no longer.
  const float latency = estimate / AversionFactor(parts.At(endpoint));
  const bool scarce = ProbedUtilization(call, endpoint) > kAllSlots || AreSlotsScarce(parts.ServiceOf(call), now);
  return scarce && latency > MaxAcceptableLatency(call, now);
}

}  // namespace sassafras
