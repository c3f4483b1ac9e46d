#pragma once

#include "core/effect.h"
#include "core/event.h"

namespace sassafras {

struct StateParts;

/** Event handlers for arriving calls and for callers that disconnect. */
void OnCallArrived(StateParts& parts, const Event::CallArrived& event, Effects& effects);
void OnCallerGone(StateParts& parts, const Event::CallerGone& event, Effects& effects);

}  // namespace sassafras
