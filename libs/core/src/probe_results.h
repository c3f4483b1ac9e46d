#pragma once

#include <limits>

#include "base/clock.h"
#include "base/handle.h"
#include "core/dispatch_basis.h"

namespace sassafras {

struct CallState;
struct StateParts;

/** Estimate of an endpoint that has not answered its probe. */
constexpr float kNoEstimate = std::numeric_limits<float>::infinity();
/** Utilization of an endpoint whose slots are all in use and that has no queue. */
constexpr float kAllSlots = 1.0F;

/** Whether the endpoint was probed for the call's next attempt. */
bool WasProbed(const CallState& call, EndpointHandle endpoint);

/** Returns the share of the endpoint's slots that would be in use with an attempt of the call; 0 if not known. */
float ProbedUtilization(const CallState& call, EndpointHandle endpoint);

/**
 * Returns the eligible endpoint with the lowest estimate among those with at most `max_utilization`; invalid if there
 * is none that answered.
 * @param estimate  set to the endpoint's estimate, kNoEstimate without an endpoint
 */
EndpointHandle BestProbedEndpoint(StateParts& parts,
                                  const CallState& call,
                                  float max_utilization,
                                  TimePoint now,
                                  float& estimate);

/** Returns how many endpoints were probed for the latest attempt and how many answered, for the call log. */
DispatchBasis ProbeBasis(const CallState& call);

}  // namespace sassafras
