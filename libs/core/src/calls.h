#pragma once

#include "base/clock.h"
#include "core/call_handle.h"
#include "core/effect.h"
#include "core/event.h"

namespace sassafras {

struct StateParts;

/** Event handlers for arriving calls and for callers that disconnect. */
void OnCallArrived(StateParts& parts, const Event::CallArrived& event, Effects& effects);
/** Dispatches or queues an accepted call that has what its account's quota demands. */
void ContinueAdmitted(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects);
void OnCallerGone(StateParts& parts, const Event::CallerGone& event, Effects& effects);

}  // namespace sassafras
