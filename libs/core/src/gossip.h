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

/** Address of a random peer in this instance's failure domain, or elsewhere if there is none. */
std::string NearPeerAddress(Parts& parts, TimePoint now);

/**
 * Tells all peers at once which endpoints have changed: those near directly, those in other failure domains by way of
 * a few there, so that what crosses between failure domains does not grow with the fleet.
 */
void TellOfEndpoints(Parts& parts, std::vector<EndpointChange> changes, TimePoint now, Effects& effects);

/** Passes changes on that came from another failure domain. */
void RelayEndpoints(Parts& parts, std::vector<EndpointChange> changes, TimePoint now, Effects& effects);

/** Tells a few peers which lists are held here; they fetch them and tell others in turn. */
void TellOfLists(Parts& parts, TimePoint now, Effects& effects);

/** Tells every peer at once what this instance says of itself. */
void TellOfSelf(Parts& parts, TimePoint now, Effects& effects);

/** Asks one peer for all it knows, under a number that it repeats. */
void AskPeer(Parts& parts, const std::string& address, uint64_t number, TimePoint now, Effects& effects);

/** Asks a few peers for all they know; their answers confirm this instance's knowledge after a pause. */
void AskPeers(Parts& parts, TimePoint now, Effects& effects);

/** Asks `count` random peers whether they hold newer lists. */
void AskPeersForLists(Parts& parts, size_t count, Effects& effects);

}  // namespace sassafras
