#pragma once

#include "core/effect.h"
#include "core/event.h"

namespace sassafras {

class State;

/**
 * Applies one event to the state and appends the resulting actions to `effects`.
 *
 * Deterministic: reads no clock, uses no global random source and does no I/O. The times of successive events must not
 * decrease. The call path does not allocate once its tables have grown.
 */
void Reduce(State& state, const Event::Any& event, Effects& effects);

}  // namespace sassafras
