#pragma once

#include "core/effect.h"
#include "core/event.h"

namespace sassafras {

class State;

/**
 * Applies one event to the state and appends what has to be done to `effects`.
 *
 * Deterministic: reads no clock, uses no global random source and does no I/O. Time never goes back between
 * events of one state. The call path allocates nothing once its tables have grown.
 */
void Reduce(State& state, const Event::Any& event, Effects& effects);

}  // namespace sassafras
