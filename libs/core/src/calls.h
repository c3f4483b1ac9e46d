#pragma once

#include "core/effect.h"
#include "core/event.h"

namespace sassafras {

struct StateParts;

/** Sub-reducers for the admission of calls and for callers that go away. */
void OnCallArrived(StateParts& parts, const Event::CallArrived& event, Effects& effects);
void OnCallerGone(StateParts& parts, const Event::CallerGone& event, Effects& effects);

}  // namespace sassafras
