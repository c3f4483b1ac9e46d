#pragma once

#include <cstddef>

#include "base/clock.h"
#include "base/handle.h"
#include "core/call_handle.h"
#include "core/effect.h"
#include "core/outcome.h"

namespace sassafras {

struct CallState;
struct StateParts;
struct Plan;
struct PlanState;
struct ServiceState;

/** Endpoints that one call of the plan may be sent to. */
size_t MaxAttempts(const Plan& plan);

/** Whether a second attempt may be made while the first one runs, apart from its budget. */
bool MayHedge(const StateParts& parts, const CallState& call, const PlanState& plan);

/** Makes an attempt of the call at the endpoint. */
void Dispatch(StateParts& parts, CallHandle handle, EndpointHandle endpoint, TimePoint now, Effects& effects);

/** Makes a second attempt beside the one that runs, if the budget allows; returns whether it did. */
bool Hedge(StateParts& parts, CallHandle handle, EndpointHandle endpoint, TimePoint now, Effects& effects);

/** Makes an attempt of the call if an endpoint has room, or asks endpoints first; returns false if the call has to
 * wait. */
bool TryDispatch(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects);

/**
 * Sends the call on, lets it wait, or ends it with `reason`: where endpoints are asked first, a call that none may
 * take now is refused at once.
 */
void SendOrHold(StateParts& parts, CallHandle handle, Reason reason, TimePoint now, Effects& effects);

/** Lets the call wait for an endpoint; a full queue drops its least urgent call. */
void Enqueue(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects);

/** Sends waiting calls of the service on while endpoints have room. */
void PumpQueues(StateParts& parts, ServiceState& service, TimePoint now, Effects& effects);

/** Rejects waiting calls whose deadline has passed. */
void ExpireWaiting(StateParts& parts, ServiceState& service, TimePoint now, Effects& effects);

/** Number of calls that wait for an endpoint. */
size_t CountWaiting(const StateParts& parts);

}  // namespace sassafras
