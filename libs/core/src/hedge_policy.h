#pragma once

#include "base/clock.h"
#include "base/handle.h"
#include "core/call_handle.h"
#include "core/effect.h"
#include "core/event.h"

namespace sassafras {

struct CallState;
struct PlanState;
struct StateParts;

// A hedge is a second attempt of a call that is sent while the first one is late. See docs/design/hedging.md.

/** Sets the allowance of each service and plan to its limit and this instance's share of the fleet's slack. */
void UpdateHedgeAllowances(StateParts& parts);

/** Adds what the call earns to the allowance that its hedge would be taken from. */
void EarnHedgeAllowance(StateParts& parts, const CallState& call);

/** Returns when a hedge of the call is due if the attempt that starts now is not answered; TimePoint::max() if never.
 */
TimePoint HedgeTime(StateParts& parts, const CallState& call, TimePoint now);

/** Records that the call is late, and starts its hedge if there is a reason to and room for it. */
void OnHedgeDue(StateParts& parts, const Event::HedgeDue& event, Effects& effects);

/**
 * Sends the hedge of the call to the endpoint if room and limit still allow it; counts it as held back or refused
 * otherwise.
 * @param has_room  whether the endpoint is valid and keeps room for others
 */
void Hedge(StateParts& parts,
           CallHandle handle,
           EndpointHandle endpoint,
           bool has_room,
           TimePoint now,
           Effects& effects);

/** Whether the endpoint is in the failure domain that a hedge of the call has to avoid. */
bool IsBarredForHedge(const StateParts& parts, const CallState& call, EndpointHandle endpoint);

/** Learns from the end of an attempt of the call, before the call changes. */
void LearnForHedging(StateParts& parts, CallState& call, const Event::AttemptEnded& event);

}  // namespace sassafras
