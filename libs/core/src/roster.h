#pragma once

#include "base/clock.h"
#include "core/effect.h"
#include "core/event.h"

namespace sassafras {

struct StateParts;

/** Event handler for the roster read from the platform's store. */
void OnRosterReceived(StateParts& parts, const Event::RosterReceived& event);

/**
 * Whether this instance knows enough members to tell which of them read the store for the fleet: it has read a
 * non-empty roster, or gossip has had time to find them. Always true without discovery, which uses no roster.
 */
bool KnowsFleet(const StateParts& parts, TimePoint now);

/**
 * Reads the roster until a read succeeded, while this instance knows no other, and while the roster is empty although
 * gossip has had time to find the others. Writes an outdated roster if this instance is its writer.
 * The roster only helps starting instances to find the others; gossip determines which are alive.
 */
void RefreshRoster(StateParts& parts, TimePoint now, Effects& effects);

}  // namespace sassafras
