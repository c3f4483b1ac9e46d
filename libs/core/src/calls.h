#pragma once

#include "core/effect.h"
#include "core/event.h"

namespace sassafras {

struct Parts;

/** Reducers for arriving calls and for callers that disconnect. */
void OnCallArrived(Parts& parts, const Event::CallArrived& event, Effects& effects);
void OnCallerGone(Parts& parts, const Event::CallerGone& event, Effects& effects);

}  // namespace sassafras
