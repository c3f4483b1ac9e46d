#pragma once

#include "base/clock.h"
#include "core/effect.h"
#include "core/event.h"

namespace sassafras {

struct GossipMessage;
struct StateParts;

/** Event handlers for the endpoints listed in the platform's store. */
void OnEndpointsReceived(StateParts& parts, const Event::EndpointsReceived& event, Effects& effects);
void OnStoreReadEnded(StateParts& parts, const Event::StoreReadEnded& event, Effects& effects);

/** Applies the endpoint data in a gossip message of a peer. */
void ApplyEndpointsFromPeer(StateParts& parts, const GossipMessage& message, TimePoint now, Effects& effects);

/** Reads the store if this instance is due to, and removes endpoints that are gone. */
void UpdateDiscovery(StateParts& parts, TimePoint now, Effects& effects);

/** When UpdateDiscovery() next has work to do. */
TimePoint NextDiscoveryTime(const StateParts& parts);

}  // namespace sassafras
