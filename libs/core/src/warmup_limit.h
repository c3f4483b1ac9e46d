#pragma once

#include "base/clock.h"
#include "base/handle.h"
#include "core/load_report.h"
#include "endpoint_feed.h"

namespace sassafras {

struct EndpointState;
struct StateParts;

/**
 * Limits the load of endpoints in warm-up, for services that state how many requests a second they tolerate then.
 *
 * Only a few instances use such an endpoint, and each of them only now and then. They are chosen by a hash of the two
 * names, so that instances that know different members of the fleet, or none, need not agree.
 */

/** Whether the endpoint is in warm-up and its service limits the load meanwhile. */
bool IsLimitedByWarmup(StateParts& parts, const EndpointState& state, TimePoint now);

/** Whether the limit allows this instance no request to the endpoint now. */
bool IsWarmupLimitReached(StateParts& parts, const EndpointState& state, TimePoint now);

/** Chooses the endpoints that this instance may use in warm-up. To be called when the listed endpoints changed. */
void ChooseWarmupEndpoints(StateParts& parts);

/** Counts the members of each failure domain, and chooses again if there are more than before. */
void UpdateWarmupFleet(StateParts& parts, TimePoint now);

/** Applies what the answer to a probe says of the warm-up of the endpoint. */
void LearnWarmup(StateParts& parts, EndpointHandle endpoint, const LoadReport& load, TimePoint now);

/** Applies what the platform's store says of the warm-up of an endpoint. */
void ApplyListedWarmup(EndpointState& state, const EndpointFeed::KnownEndpoint& listed);

}  // namespace sassafras
