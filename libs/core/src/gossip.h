#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "core/effect.h"
#include "core/event.h"
#include "core/gossip_message.h"

namespace sassafras {

struct StateParts;

/** Event handler for a gossip datagram from a peer. */
void OnGossipReceived(StateParts& parts, const Event::GossipReceived& event, Effects& effects);

/** Sends a full gossip message to `gossip_fanout` random peers. */
void SendGossipRound(StateParts& parts, TimePoint now, Effects& effects);

/** Address of a random peer, or of a random seed while no peer is known; empty if there is neither. */
std::string RandomPeerAddress(StateParts& parts, TimePoint now);

/** Address of a random peer in this instance's failure domain, or in any other if it has none. */
std::string SameDomainPeerAddress(StateParts& parts, TimePoint now);

/**
 * Sends endpoint changes to all peers at once. Peers in the same failure domain get them directly; each other failure
 * domain gets them through a few relays, so that traffic between failure domains does not grow with the fleet.
 */
void AnnounceEndpointChanges(StateParts& parts, std::vector<EndpointChange> changes, TimePoint now, Effects& effects);

/** Forwards endpoint changes from another failure domain to the peers in this one. */
void RelayEndpointChanges(StateParts& parts, std::vector<EndpointChange> changes, TimePoint now, Effects& effects);

/** Announces the generation of the lists to a few peers, which fetch the lists and announce them in turn. */
void AnnounceLists(StateParts& parts, TimePoint now, Effects& effects);

/** Tells every peer, those of other failure domains through a few of them, that this instance is leaving. */
void AnnounceLeaving(StateParts& parts, TimePoint now, Effects& effects);

/** Tells every peer, those of other failure domains through a few of them, which failure domains are evacuated. */
void AnnounceEvacuations(StateParts& parts, TimePoint now, Effects& effects);
/** Tells the peers in this failure domain which ones are evacuated. */
void RelayEvacuations(StateParts& parts, TimePoint now, Effects& effects);
/**
 * Sends this instance's own member entry, digests of what it knows and the age of their confirmation to every peer at
 * once, or to one peer.
 */
void AnnounceState(StateParts& parts, TimePoint now, Effects& effects);
void AnnounceStateTo(StateParts& parts, const std::string& address, TimePoint now, Effects& effects);

/** Asks one peer for all its rumors; its reply repeats `query_id`. */
void QueryPeer(StateParts& parts, const std::string& address, uint64_t query_id, TimePoint now, Effects& effects);

/** Asks a few peers for all their rumors; their replies end the revalidation after a pause. */
void QueryPeersForRevalidation(StateParts& parts, TimePoint now, Effects& effects);

/** Sends one request for tokens, or replies to such requests. */
void SendQuotaRequest(StateParts& parts,
                      const std::string& address,
                      const GossipMessage::QuotaRequest& request,
                      TimePoint now,
                      Effects& effects);
void SendQuotaGrants(StateParts& parts,
                     const std::string& address,
                     std::vector<GossipMessage::QuotaGrant> grants,
                     TimePoint now,
                     Effects& effects);

/** Fetches lists from `count` random peers or seeds, if they have newer ones. */
void FetchListsFromPeers(StateParts& parts, size_t count, Effects& effects);

}  // namespace sassafras
