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

/** Adds `sample` to an exponential moving average; an average of 0 has no sample yet. */
void UpdateAverage(float& average, float sample);

/** Adds a sample to the exponential moving average of the rate of an event, 0 to 1. */
void UpdateRate(float& rate, bool occurred);

/** Records a failure of an endpoint. Repeated failures eject it for a while, but never more than half of a service. */
void RecordFailure(StateParts& parts, EndpointHandle endpoint, TimePoint now);

/** Share of slots in use above which endpoints may slow down; independent of the threshold of kHotCold. */
constexpr float kNearFullUtilization = 0.8F;

/** Returns the endpoint's latency relative to its service; the learned value decays towards 1 with time. */
float RelativeLatencyAt(const EndpointState& state, TimePoint now);

/**
 * Applies the part of a load report that decides whether the endpoint gets calls: its incarnation, the draining flag
 * and the time for which it wants no requests.
 */
void LearnAvailability(StateParts& parts, EndpointHandle endpoint, const LoadReport& load, TimePoint now);

/** Applies a load report of an endpoint, including the part that LearnAvailability() applies. */
void LearnFromLoadReport(StateParts& parts, EndpointHandle endpoint, const LoadReport& load, TimePoint now);

/** Records that an incarnation of an endpoint is alive, and tells peers if a leaving endpoint has returned. */
void RecordAlive(StateParts& parts, EndpointHandle endpoint, uint64_t incarnation, TimePoint now);

/** Records that an incarnation of an endpoint is leaving; if that is new, logs its `source` and tells peers. */
void RecordLeaving(StateParts& parts, EndpointHandle endpoint, uint64_t incarnation, const char* source, TimePoint now);

/** Logs that a request that crashes endpoints is quarantined. */
void LogQuarantined(StateParts& parts, uint64_t fingerprint, std::chrono::milliseconds lifetime, const char* source);

/** Adds a rumor to gossip, and requests an immediate gossip round if it is new. */
void SpreadRumor(StateParts& parts, const GossipMessage::Rumor& rumor, TimePoint now);

}  // namespace sassafras
