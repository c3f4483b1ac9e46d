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
 * Probes a few endpoints for their load before an attempt, so that the call goes to one that is fast now. Load reports
 * that came with earlier answers may be outdated, because the speed of an endpoint changes quickly.
 *
 * Probes endpoints of this instance's failure domain first, and others if too few of those are eligible or all of those
 * probed are slow or full.
 * @return false if no endpoint can take the call, or a hedge cannot be probed for because the budget is used up
 */
bool StartLoadProbing(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects);

/** Handles the answer to a load probe, and dispatches the call once an endpoint can be chosen. */
void OnLoadProbeEnded(StateParts& parts, const Event::ProbeEnded& event, Effects& effects);

/** Ends the wait for probe answers: decides by those received so far, or probes again if that was pending. */
void OnProbeWaitExpired(StateParts& parts, const Event::ProbeWaitExpired& event, Effects& effects);

}  // namespace sassafras
