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
struct ServiceState;

/** Returns the maximum number of attempts of the call. */
size_t MaxAttempts(const CallState& call);

/**
 * Whether the request of the call may be run more than once: its plan said so when it was admitted, and no later lists
 * have withdrawn that.
 */
bool MayRepeat(StateParts& parts, const CallState& call);

/** Starts an attempt of the call at the endpoint. */
void Dispatch(StateParts& parts, CallHandle handle, EndpointHandle endpoint, TimePoint now, Effects& effects);

/**
 * Starts an attempt of the call, or probes endpoints first if `ask_first` is set.
 * @return false if no endpoint can take the call now, or the lists are being revalidated
 */
bool TryDispatch(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects);

/**
 * Dispatches the call. If no endpoint can take it, queues it; with `ask_first`, rejects it with `reason` instead,
 * except while the lists are revalidated.
 */
void DispatchQueueOrReject(StateParts& parts, CallHandle handle, Reason reason, TimePoint now, Effects& effects);

/** Queues the call until an endpoint has room. A full queue rejects the least urgent call. */
void Enqueue(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects);

/** Dispatches waiting calls of the service while endpoints have room. */
void DispatchWaiting(StateParts& parts, ServiceState& service, TimePoint now, Effects& effects);

/** Rejects waiting calls of the service whose deadline has passed, and all once a leaving instance admits none. */
void RejectExpiredWaiting(StateParts& parts, ServiceState& service, TimePoint now, Effects& effects);

/** Returns the number of calls that wait for an endpoint. */
size_t CountWaiting(const StateParts& parts);

}  // namespace sassafras
