#pragma once

#include <chrono>
#include <cstdint>

#include "base/clock.h"
#include "base/handle.h"
#include "core/gossip_message.h"
#include "core/load_report.h"

namespace sassafras {

struct EndpointState;
struct StateParts;

/** Moves an exponential average towards `sample`; 0 stands for no sample yet. */
void UpdateAverage(float& average, float sample);

/** Moves a moving average of how often something happens. */
void UpdateShare(float& share, bool hit);

/** Keeps an endpoint that fails again and again out of use for a while, but never half of a service. */
void NoteFailure(StateParts& parts, EndpointHandle endpoint, TimePoint now);

/** Share of slots in use from which endpoints may slow down. */
constexpr float kKneeShare = 0.8F;

/** Latency of the endpoint relative to its service; what was learned fades with time. */
float RelativeLatencyAt(const EndpointState& state, TimePoint now);

/** Takes in a load report of an endpoint, with the incarnation and drain mark that it carries. */
void LearnFromReport(StateParts& parts, EndpointHandle endpoint, const LoadReport& load, TimePoint now);

/** Takes in that an incarnation of an endpoint is alive, and spreads it if the endpoint is back after it left. */
void NoteAlive(StateParts& parts, EndpointHandle endpoint, uint64_t incarnation, TimePoint now);

/** Takes in that an incarnation of an endpoint leaves, and spreads it if that is new. */
void NoteLeaving(StateParts& parts, EndpointHandle endpoint, uint64_t incarnation, TimePoint now);

/** Notes for the log that a request that crashes endpoints is refused from now on. */
void NoteQuarantined(StateParts& parts, uint64_t fingerprint, std::chrono::milliseconds lifetime, const char* source);

/** Adds a fact to the rumours and asks for a gossip round at once if it is new. */
void SpreadRumor(StateParts& parts, const GossipMessage::Rumor& rumor, TimePoint now);

}  // namespace sassafras
