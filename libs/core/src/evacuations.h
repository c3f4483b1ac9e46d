#pragma once

#include "base/clock.h"
#include "core/effect.h"
#include "core/event.h"

namespace sassafras {

struct GossipMessage;
struct StateParts;

/** Event handler for the evacuated failure domains as read from the platform's store. */
void OnEvacuationsReceived(StateParts& parts, const Event::EvacuationsReceived& event, Effects& effects);

/** Applies the evacuated failure domains in a gossip message of a peer. */
void ApplyEvacuationsFromPeer(StateParts& parts, const GossipMessage& message, TimePoint now, Effects& effects);

/** Whether the sender of a message knows an older set of evacuated failure domains that differs from this instance's.
 */
bool HasOutdatedEvacuations(const StateParts& parts, const GossipMessage& message);

}  // namespace sassafras
