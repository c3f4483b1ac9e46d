#pragma once

#include <cstdint>

#include "base/clock.h"
#include "base/handle.h"

namespace sassafras {

struct CallState;
struct EndpointState;
struct LoadReport;
struct ServiceState;
struct StateParts;

/** Marks all slots of an endpoint as taken until its next load report. */
void MarkFull(EndpointState& state, TimePoint now);

/**
 * Records a load report of the endpoint itself. A report after an unanswered attempt shows that the endpoint was full
 * rather than stopped.
 */
void RecordOwnReport(StateParts& parts, EndpointHandle endpoint, const LoadReport& load, TimePoint now);

/**
 * Handles a timeout or a reset of an attempt that is no failure because the endpoint was full: some endpoints neither
 * answer nor reject a request that they cannot queue.
 * @param others  attempts of this instance at the endpoint besides the ended one
 * @return whether the endpoint was full
 */
bool HandleSilenceWhenFull(StateParts& parts,
                           const CallState& call,
                           EndpointHandle endpoint,
                           uint32_t others,
                           bool timed_out,
                           TimePoint now);

/** Like HandleSilenceWhenFull(), for a probe sent at `sent_at` that got no answer. */
bool HandleUnansweredProbeWhenFull(StateParts& parts, EndpointHandle endpoint, TimePoint sent_at, TimePoint now);

/** Learns from the answer to an attempt how many requests the endpoint queues beyond its slots. */
void LearnQueue(const CallState& call, EndpointHandle endpoint, EndpointState& state);

/**
 * Whether the call may only be sent to an endpoint that certainly has room: it must not run twice, and full endpoints
 * of its service left requests without an answer lately.
 */
bool NeedsCertainRoom(StateParts& parts, const CallState& call, TimePoint now);

/**
 * Whether the endpoint's answer to the call's probe shows room: with the new attempt the endpoint has at most as many
 * requests as slots and places in its queue, as far as that was seen.
 */
bool HasCertainRoom(StateParts& parts, const CallState& call, EndpointHandle endpoint);

/** Returns the probed endpoint with the lowest estimate among those with certain room; invalid if there is none. */
EndpointHandle BestEndpointWithRoom(StateParts& parts, const CallState& call, TimePoint now);

}  // namespace sassafras
