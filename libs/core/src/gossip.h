#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "core/effect.h"
#include "core/event.h"

namespace sassafras {

struct Parts;

/** Sub-reducer for a datagram of a peer. */
void OnGossipReceived(Parts& parts, const Event::GossipReceived& event, Effects& effects);

/** Sends this instance's news to a fixed number of peers. */
void SendGossipRound(Parts& parts, TimePoint now, Effects& effects);

/** Address of a random peer, or of a seed while none is known; empty if there is none. */
std::string RandomPeerAddress(Parts& parts, TimePoint now);

/** Tells all peers at once which lists are held here and which endpoints have changed. */
void SendToAllPeers(Parts& parts, std::vector<EndpointChange> changes, TimePoint now, Effects& effects);

/** Asks a few peers for all they know; their answers confirm this instance's knowledge after a pause. */
void AskPeers(Parts& parts, TimePoint now, Effects& effects);

/** Asks `count` random peers whether they hold newer lists. */
void AskPeersForLists(Parts& parts, size_t count, Effects& effects);

}  // namespace sassafras
