#include "endpoint_learning.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include <fmt/format.h>

#include "full_endpoints.h"
#include "state_parts.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/** Lifetime of the rumors that an endpoint is leaving or has returned. */
constexpr std::chrono::minutes kLeavingRumorLifetime{10};

/** Number of consecutive failures after which an endpoint is ejected. */
constexpr uint16_t kFailuresToEject = 3;
/** Duration of the first ejection; doubles with each further one until an answer, at most as often as stated below. */
constexpr std::chrono::milliseconds kInitialEjection{500};
constexpr uint8_t kMaxEjectionDoublings = 6;

size_t CountEjected(const StateParts& parts, const ServiceState& service, TimePoint now) {
  return static_cast<size_t>(
      std::count_if(service.endpoints.begin(), service.endpoints.end(),
                    [&](EndpointHandle endpoint) { return parts.endpoints[endpoint].ejected_until > now; }));
}

/** Sends the endpoint nothing for the time `duration`, unless it is held off for longer already. */
void HoldOff(StateParts& parts, EndpointHandle endpoint, milliseconds duration, TimePoint now) {
  EndpointState& state = parts.At(endpoint);
  const bool held_off_before = state.held_off_until > now;
  state.held_off_until = std::max(state.held_off_until, now + duration);
  if (!held_off_before)
    parts.log_records.push_back({LogRecord::Kind::kEndpointHeldOff, parts.endpoints.Listing(endpoint).name,
                                 state.incarnation, duration, "answer"});
}

}  // namespace

void UpdateAverage(float& average, float sample) {
  constexpr float kWeight = 0.1F;
  average = average <= 0.0F ? sample : average + kWeight * (sample - average);
}

void UpdateRate(float& rate, bool occurred) {
  constexpr float kWeight = 0.1F;
  rate += kWeight * ((occurred ? 1.0F : 0.0F) - rate);
}

void RecordFailure(StateParts& parts, EndpointHandle endpoint, TimePoint now) {
  EndpointState& state = parts.At(endpoint);
  UpdateRate(state.failure_rate, true);
  ++state.consecutive_failures;
  if (state.consecutive_failures < kFailuresToEject || state.ejected_until > now || !state.service.IsValid())
    return;
  const ServiceState& service = parts.At(state.service);
  if (2 * (CountEjected(parts, service, now) + 1) > service.endpoints.size())
    return;
  const auto ejection_time = kInitialEjection * (1 << std::min(state.ejections, kMaxEjectionDoublings));
  state.ejected_until = now + ejection_time;
  parts.log_records.push_back({LogRecord::Kind::kEndpointEjected, parts.endpoints.Listing(endpoint).name,
                               state.incarnation, ejection_time, "own calls"});
  ++state.ejections;
}

float RelativeLatencyAt(const EndpointState& state, TimePoint now) {
  constexpr std::chrono::duration<float> kHalfLife{5.0F};
  const std::chrono::duration<float> age = now - state.relative_latency_at;
  return 1.0F + (state.relative_latency - 1.0F) * std::exp2(-(age / kHalfLife));
}

void LearnFromLoadReport(StateParts& parts, EndpointHandle endpoint, const LoadReport& load, TimePoint now) {
  EndpointState& state = parts.At(endpoint);
  LearnAvailability(parts, endpoint, load, now);
  parts.endpoints.ApplyReport(endpoint, load, now);
  if (!load.present || !state.service.IsValid())
    return;
  RecordOwnReport(parts, endpoint, load, now);
  const uint32_t others =
      load.in_flight > state.own_in_flight_at_report ? load.in_flight - state.own_in_flight_at_report : 0;
  UpdateAverage(parts.At(state.service).other_instances_load, static_cast<float>(others));
}

void LearnAvailability(StateParts& parts, EndpointHandle endpoint, const LoadReport& load, TimePoint now) {
  RecordAlive(parts, endpoint, load.incarnation, now);
  if (load.draining)
    RecordLeaving(parts, endpoint, load.incarnation, "answer", now);
  // A report of an earlier incarnation says nothing about the current one.
  const bool current = load.incarnation == 0 || load.incarnation >= parts.At(endpoint).incarnation;
  if (current && load.hold_off > milliseconds::zero())
    HoldOff(parts, endpoint, load.hold_off, now);
}

void RecordAlive(StateParts& parts, EndpointHandle endpoint, uint64_t incarnation, TimePoint now) {
  if (!parts.endpoints.RecordIncarnation(endpoint, incarnation, now))
    return;
  using Kind = GossipMessage::Rumor::Kind;
  SpreadRumor(parts, {Kind::kReturned, parts.At(endpoint).name_hash, incarnation, kLeavingRumorLifetime}, now);
}

void RecordLeaving(StateParts& parts,
                   EndpointHandle endpoint,
                   uint64_t incarnation,
                   const char* source,
                   TimePoint now) {
  const EndpointState& state = parts.At(endpoint);
  // An endpoint that moved to another address has no name here: what the former address answers concerns nobody.
  if (state.name_hash == 0 || !parts.endpoints.MarkLeaving(endpoint, incarnation))
    return;
  parts.log_records.push_back(
      {LogRecord::Kind::kEndpointLeaving, parts.endpoints.Listing(endpoint).name, 0, {}, source});
  using Kind = GossipMessage::Rumor::Kind;
  SpreadRumor(parts, {Kind::kLeaving, state.name_hash, state.leaving_incarnation, kLeavingRumorLifetime}, now);
}

void LogQuarantined(StateParts& parts, uint64_t fingerprint, std::chrono::milliseconds lifetime, const char* source) {
  parts.log_records.push_back(
      {LogRecord::Kind::kRequestQuarantined, fmt::format("{:016x}", fingerprint), 0, lifetime, source});
}

void SpreadRumor(StateParts& parts, const GossipMessage::Rumor& rumor, TimePoint now) {
  if (parts.rumors.Add(rumor, now))
    parts.gossip_pending = true;
}

}  // namespace sassafras
