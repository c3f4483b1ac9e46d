#pragma once

#include "core/effect.h"
#include "core/event.h"

namespace sassafras {

struct Parts;

/** Reducers for events of attempts at endpoints. */
void OnHedgeDue(Parts& parts, const Event::HedgeDue& event, Effects& effects);
void OnAttemptEnded(Parts& parts, const Event::AttemptEnded& event, Effects& effects);

}  // namespace sassafras
