#pragma once

#include "base/clock.h"
#include "base/handle.h"
#include "core/call_handle.h"
#include "core/effect.h"
#include "core/event.h"

namespace sassafras {

struct CallState;
struct StateParts;

/**
 * Asks a few endpoints for their load, so that the call goes to one that is fast at this moment: an endpoint's
 * speed changes faster than reports of it age.
 *
 * Endpoints of this instance's failure domain are asked first, others only if those are slow or full.
 * @return false if no endpoint may take the call
 */
bool StartAsking(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects);

/** Share of the endpoint's slots that an attempt of the call would take in all; 0 if it was not asked. */
float AskedShare(const CallState& call, EndpointHandle endpoint);

/** How many endpoints the call asked for its latest attempt and how many answered, for logs. */
DispatchBasis BasisOfAnswers(const CallState& call);

/** Takes in the answer of an asked endpoint; sends the call on once it is known where to. */
void OnAskAnswered(StateParts& parts, const Event::ProbeEnded& event, Effects& effects);

/** Sends the call on by the answers that have come. */
void OnAskDue(StateParts& parts, const Event::LoadQueryTimeout& event, Effects& effects);

}  // namespace sassafras
