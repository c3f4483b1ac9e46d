#include "endpoint_news.h"

#include <chrono>

#include "parts.h"

namespace sassafras {
namespace {

/** How long it is spread that an endpoint leaves or is back. */
constexpr std::chrono::minutes kLeavingLifetime{10};

}  // namespace

void UpdateAverage(float& average, float sample) {
  constexpr float kWeight = 0.1F;
  average = average <= 0.0F ? sample : average + kWeight * (sample - average);
}

void LearnFromReport(Parts& parts, EndpointHandle endpoint, const LoadReport& load, TimePoint now) {
  EndpointState& state = parts.At(endpoint);
  NoteAlive(parts, endpoint, load.incarnation, now);
  if (load.draining)
    NoteLeaving(parts, endpoint, load.incarnation, now);
  parts.endpoints.ApplyReport(endpoint, load, now);
  if (!load.present || !state.service.IsValid())
    return;
  const uint32_t others = load.in_flight > state.own_at_report ? load.in_flight - state.own_at_report : 0;
  UpdateAverage(parts.At(state.service).others_load, static_cast<float>(others));
}

void NoteAlive(Parts& parts, EndpointHandle endpoint, uint64_t incarnation, TimePoint now) {
  if (!parts.endpoints.SawIncarnation(endpoint, incarnation, now))
    return;
  using Kind = GossipMessage::Rumor::Kind;
  SpreadRumor(parts, {Kind::kReturned, parts.At(endpoint).name_hash, incarnation, kLeavingLifetime}, now);
}

void NoteLeaving(Parts& parts, EndpointHandle endpoint, uint64_t incarnation, TimePoint now) {
  if (!parts.endpoints.MarkLeaving(endpoint, incarnation))
    return;
  const EndpointState& state = parts.At(endpoint);
  using Kind = GossipMessage::Rumor::Kind;
  SpreadRumor(parts, {Kind::kLeaving, state.name_hash, state.leaving_incarnation, kLeavingLifetime}, now);
}

void SpreadRumor(Parts& parts, const GossipMessage::Rumor& rumor, TimePoint now) {
  if (parts.rumors.Add(rumor, now))
    parts.gossip_now = true;
}

}  // namespace sassafras
