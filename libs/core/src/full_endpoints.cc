#include "full_endpoints.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>

#include "dispatch.h"
#include "latency_estimate.h"
#include "probe_results.h"
#include "selection.h"
#include "state_parts.h"

namespace sassafras {
namespace {

using FloatMicros = std::chrono::duration<float, std::micro>;

/** A report that is older than this at the start of an attempt says nothing about the room at that time. */
constexpr std::chrono::milliseconds kMaxReportAge{100};
/**
 * The same at services whose full endpoints are known to be silent: they may not answer probes either. A stopped
 * endpoint is ejected after this time, since its reports end.
 */
constexpr std::chrono::milliseconds kMaxReportAgeIfSilent{2'000};
/** An attempt that timed out after less than this multiple of its estimate may have waited in a queue. */
constexpr float kSilentFactor = 3.0F;
/** An endpoint that reports again after more than this time may have been restarted. */
constexpr std::chrono::seconds kMinRestartTime{2};
/** Silences above which run-once calls are sent only where room is certain; a single one may be an accident. */
constexpr float kSilencesToBeCareful = 1.0F;

float SilencesAt(const ServiceState& service, TimePoint now) {
  constexpr std::chrono::duration<float> kHalfLife{30.0F};
  const std::chrono::duration<float> age = now - service.silences_at;
  return service.silences_when_full * std::exp2(-(age / kHalfLife));
}

/** Position of the latest attempt of the call at the endpoint. */
std::optional<size_t> AttemptAt(const CallState& call, EndpointHandle endpoint) {
  for (size_t i = call.attempts; i > 0; --i) {
    if (call.tried[i - 1] == endpoint)
      return i - 1;
  }
  return std::nullopt;
}

/** Whether the endpoint's last report, at the earliest shortly before `since`, showed all slots taken. */
bool ReportedFull(StateParts& parts, const EndpointState& state, TimePoint since, TimePoint now) {
  if (!state.own_report_full || !state.service.IsValid())
    return false;
  const bool silent = SilencesAt(parts.At(state.service), now) > kSilencesToBeCareful;
  return state.own_report_at + (silent ? kMaxReportAgeIfSilent : kMaxReportAge) >= since;
}

/** Number of requests beyond the endpoint's slots at this utilization; negative if slots are free. */
long RequestsBeyondSlots(const EndpointState& state, float utilization) {
  return std::lround((utilization - kAllSlots) * static_cast<float>(state.slots));
}

/** Records that an endpoint left a request unanswered that was the `beyond`-th beyond its slots. */
void BoundQueue(ServiceState& service, long beyond, TimePoint now) {
  const auto bound = static_cast<uint32_t>(std::max(0L, beyond - 1));
  const bool first = SilencesAt(service, now) <= kSilencesToBeCareful;
  service.queue_bound = first ? bound : std::min(service.queue_bound, bound);
}

/** Whether the endpoint would have answered an attempt from its queue by now. */
bool WaitedTooLongForQueue(StateParts& parts, const CallState& call, size_t attempt, TimePoint now) {
  const float waited = FloatMicros(now - call.dispatched_at[attempt]).count();
  const float queued = std::max(1.0F, call.utilizations[attempt]);
  return waited > kSilentFactor * ExpectedLatency(parts, call) * queued * call.reported_slowdowns[attempt];
}

}  // namespace

void MarkFull(EndpointState& state, TimePoint now) {
  state.reported_in_flight = std::max(state.reported_in_flight, state.slots);
  state.own_in_flight_at_report = state.in_flight;
  state.reported_at = now;
}

void RecordOwnReport(StateParts& parts, EndpointHandle endpoint, const LoadReport& load, TimePoint now) {
  EndpointState& state = parts.At(endpoint);
  state.own_report_at = now;
  state.own_report_full = load.in_flight >= std::max(1u, load.slots > 0 ? load.slots : state.slots);
  if (state.silent_at == TimePoint() || !state.service.IsValid())
    return;
  const bool restarted = state.silent_incarnation != state.incarnation || now - state.silent_at > kMinRestartTime;
  state.silent_at = {};
  // A restarted endpoint did not fall silent because it was full.
  if (restarted)
    return;
  ServiceState& service = parts.At(state.service);
  service.silences_when_full = SilencesAt(service, now) + 1.0F;
  service.silences_at = now;
}

bool HandleSilenceWhenFull(StateParts& parts,
                           const CallState& call,
                           EndpointHandle endpoint,
                           uint32_t others,
                           bool timed_out,
                           TimePoint now) {
  EndpointState& state = parts.At(endpoint);
  const auto attempt = AttemptAt(call, endpoint);
  if (!attempt.has_value() || !state.service.IsValid())
    return false;
  const TimePoint sent_at = call.dispatched_at[*attempt];
  // Own attempts at an endpoint that answers none of them show that it stopped, not that it is full.
  const bool full_of_own = others >= state.slots && state.progress_at > sent_at;
  if (call.utilizations[*attempt] <= kAllSlots && !full_of_own && !ReportedFull(parts, state, sent_at, now))
    return false;
  MarkFull(state, now);
  if (!timed_out || WaitedTooLongForQueue(parts, call, *attempt, now)) {
    state.silent_at = now;
    state.silent_incarnation = state.incarnation;
    BoundQueue(parts.At(state.service), RequestsBeyondSlots(state, call.utilizations[*attempt]), now);
  }
  return true;
}

bool HandleUnansweredProbeWhenFull(StateParts& parts, EndpointHandle endpoint, TimePoint sent_at, TimePoint now) {
  EndpointState& state = parts.At(endpoint);
  if (!ReportedFull(parts, state, sent_at, now))
    return false;
  MarkFull(state, now);
  return true;
}

void LearnQueue(const CallState& call, EndpointHandle endpoint, EndpointState& state) {
  const auto attempt = AttemptAt(call, endpoint);
  if (!attempt.has_value() || call.utilizations[*attempt] <= kAllSlots)
    return;
  const long beyond = RequestsBeyondSlots(state, call.utilizations[*attempt]);
  state.queue_seen = std::max(state.queue_seen, static_cast<uint32_t>(beyond));
}

bool NeedsCertainRoom(StateParts& parts, const CallState& call, TimePoint now) {
  return !MayRepeat(parts, call) && SilencesAt(parts.ServiceOf(call), now) > kSilencesToBeCareful;
}

bool HasCertainRoom(StateParts& parts, const CallState& call, EndpointHandle endpoint) {
  const EndpointState& state = parts.At(endpoint);
  const float utilization = ProbedUtilization(call, endpoint);
  const uint32_t queue = std::min(state.queue_seen, parts.ServiceOf(call).queue_bound);
  return utilization > 0 && RequestsBeyondSlots(state, utilization) <= static_cast<long>(queue);
}

EndpointHandle BestEndpointWithRoom(StateParts& parts, const CallState& call, TimePoint now) {
  EndpointHandle best;
  float best_estimate = kNoEstimate;
  for (size_t i = 0; i < call.probed_count; ++i) {
    const EndpointHandle endpoint = call.probed[i];
    if (call.estimates_us[i] < best_estimate && HasCertainRoom(parts, call, endpoint) &&
        IsEligible(parts, call, endpoint, now)) {
      best = endpoint;
      best_estimate = call.estimates_us[i];
    }
  }
  return best;
}

}  // namespace sassafras
