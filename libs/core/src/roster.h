#pragma once

#include "base/clock.h"
#include "core/effect.h"
#include "core/event.h"

namespace sassafras {

struct Parts;

/** Takes in the entry instances that one of them has written down. */
void OnRosterReceived(Parts& parts, const Event::RosterReceived& event);

/**
 * Whether this instance knows enough of the others to tell which of them read the store for all: it has a roster, or
 * has had time to hear of them. Without discovery there is no roster, and it always does.
 */
bool KnowsFleet(const Parts& parts, TimePoint now);

/**
 * Reads the roster while this instance knows no other, and writes it where this instance is the one to do so and
 * the roster is out of date. The roster only helps instances that start to find the others: who is alive is told by
 * gossip.
 */
void RefreshRoster(Parts& parts, TimePoint now, Effects& effects);

}  // namespace sassafras
