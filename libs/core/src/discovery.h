#pragma once

#include "base/clock.h"
#include "core/effect.h"
#include "core/event.h"

namespace sassafras {

struct GossipMessage;
struct Parts;

/** Sub-reducers for endpoints that the platform's store lists. */
void OnEndpointsReceived(Parts& parts, const Event::EndpointsReceived& event, Effects& effects);
void OnStoreRead(Parts& parts, const Event::StoreRead& event, Effects& effects);

/** Takes in what a peer knows of the endpoints. */
void LearnEndpointsFromPeer(Parts& parts, const GossipMessage& message, TimePoint now, Effects& effects);

/** Reads the store if it is this instance's turn, and ends the use of endpoints that are gone. */
void RefreshDiscovery(Parts& parts, TimePoint now, Effects& effects);

/** When RefreshDiscovery() next has something to do. */
TimePoint NextDiscovery(const Parts& parts);

}  // namespace sassafras
