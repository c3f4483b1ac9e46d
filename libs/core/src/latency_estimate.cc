#include "latency_estimate.h"

#include <algorithm>

#include "endpoint_learning.h"
#include "state_parts.h"

namespace sassafras {
namespace {

/** Relative latency up to which an endpoint does not count as slow. */
constexpr float kSlowRelativeLatency = 1.3F;
/** Factor on the estimates of endpoints in another failure domain: they have to be this much faster to be chosen. */
constexpr float kRemoteLatencyFactor = 1.1F;
/** Factor by which the failure rate of an endpoint raises its estimate. */
constexpr float kFailureWeight = 8.0F;
/** Expected latency of a service before its first answer. */
constexpr float kInitialLatencyUs = 100'000.0F;
constexpr float kWarmupSlowdown = 2.0F;
constexpr float kUnhealthySlowdown = 5.0F;

/** Returns how much slower than its service the endpoint was lately, beyond the slowdown it reported itself. */
float LearnedSlowdown(const EndpointState& state, TimePoint now) {
  return std::max(1.0F, RelativeLatencyAt(state, now) / kSlowRelativeLatency);
}

/** Returns the number of requests at the endpoint: those it reported and those that this instance sent since. */
float ReportedOccupancy(const EndpointState& state, const LoadReport& load) {
  const uint32_t since =
      state.in_flight > state.own_in_flight_at_report ? state.in_flight - state.own_in_flight_at_report : 0;
  return static_cast<float>(load.in_flight + since);
}

float SlotCount(const EndpointState& state, const LoadReport& load) {
  return static_cast<float>(std::max(1u, load.slots > 0 ? load.slots : state.slots));
}

}  // namespace

float ExpectedLatency(StateParts& parts, const CallState& call) {
  const float latency = parts.ServiceOf(call).LatencyFor(call.terms.work);
  return latency > 0 ? latency : kInitialLatencyUs;
}

float AversionFactor(const EndpointState& state) {
  const float failures = 1.0F + kFailureWeight * state.failure_rate;
  return state.same_failure_domain ? failures : failures * kRemoteLatencyFactor;
}

float UtilizationWithNextAttempt(const EndpointState& state, const LoadReport& load) {
  return (ReportedOccupancy(state, load) + 1.0F) / SlotCount(state, load);
}

bool HasFreeSlot(const EndpointState& state, const LoadReport& load) {
  return ReportedOccupancy(state, load) + 1.0F <= SlotCount(state, load);
}

float EstimateLatency(StateParts& parts,
                      const CallState& call,
                      EndpointHandle endpoint,
                      const LoadReport& load,
                      TimePoint now) {
  const EndpointState& state = parts.At(endpoint);
  const ServiceState& service = parts.ServiceOf(call);
  const float slots = SlotCount(state, load);
  const float occupied = ReportedOccupancy(state, load) + 1.0F;
  const float queued = std::max(0.0F, occupied - slots) / slots;
  float slowdown = std::max(load.slowdown, 0.1F) * LearnedSlowdown(state, now);
  if (occupied > kNearFullUtilization * slots)
    slowdown *= std::max(1.0F, service.near_full_slowdown);
  if (now < state.warmup_until)
    slowdown *= kWarmupSlowdown;
  if (load.unhealthy)
    slowdown *= kUnhealthySlowdown;
  return ExpectedLatency(parts, call) * slowdown * (1.0F + queued) * AversionFactor(state);
}

}  // namespace sassafras
