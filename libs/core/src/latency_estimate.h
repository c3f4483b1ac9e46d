#pragma once

#include "base/clock.h"
#include "base/handle.h"
#include "core/load_report.h"

namespace sassafras {

struct CallState;
struct EndpointState;
struct StateParts;

/** Returns the expected latency of an attempt of the call at an endpoint of average speed, in microseconds. */
float ExpectedLatency(StateParts& parts, const CallState& call);

/** Factor by which an endpoint has to be faster than others to be chosen over them. */
float AversionFactor(const EndpointState& state);

/** Returns the share of the endpoint's slots in use with one more attempt, above 1 if it would have to wait. */
float UtilizationWithNextAttempt(const EndpointState& state, const LoadReport& load);

/** Whether one more attempt would find a free slot at the endpoint. */
bool HasFreeSlot(const EndpointState& state, const LoadReport& load);

/**
 * Estimates how long an attempt at the endpoint would take, in microseconds, from the load it just reported; multiplied
 * by its AversionFactor().
 */
float EstimateLatency(StateParts& parts,
                      const CallState& call,
                      EndpointHandle endpoint,
                      const LoadReport& load,
                      TimePoint now);

}  // namespace sassafras
