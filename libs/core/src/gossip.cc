#include "gossip.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <absl/container/flat_hash_map.h>

#include "core/gossip_message.h"
#include "discovery.h"
#include "endpoint_learning.h"
#include "quota.h"
#include "key_confirmation.h"
#include "evacuations.h"
#include "state_parts.h"
#include "watchers.h"

namespace sassafras {
namespace {

using std::chrono::ceil;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr size_t kMaxRumorsPerMessage = 8;
constexpr size_t kMaxRumorsPerReply = 24;
/** Peers that a resumed instance queries. */
constexpr size_t kPeersQueriedAfterPause = 2;
constexpr size_t kMaxMembersPerMessage = 2;
constexpr size_t kMaxHeartbeatsPerMessage = 48;
/** Members that joined or began to leave more recently than this are sent first, so that the news propagates. */
constexpr std::chrono::seconds kMemberNewsAge{5};
constexpr size_t kMaxLoadsPerMessage = 8;
/**
 * A message goes to a silent peer with a probability of one in this many, so that the two sides of a network partition
 * find each other again.
 */
constexpr uint64_t kSilentPeerOdds = 8;
/**
 * Any other message goes to a peer in any failure domain, not only in this instance's own, with a probability of one in
 * this many.
 */
constexpr uint64_t kAnyDomainPeerOdds = 4;
/** Peers to which each instance announces lists that it has just applied. */
constexpr size_t kPeersPerListsAnnouncement = 3;
/** Peers in each other failure domain that forward changes there. */
constexpr size_t kRelaysPerDomain = 2;
/** Shortest time between two fetches of lists. */
constexpr milliseconds kMinListsFetchInterval{200};
/** Shortest time between two queries because of a different set of leaving endpoints. */
constexpr milliseconds kMinLeavingQueryInterval{100};
/** Shortest time between two notices to peers with outdated lists or endpoints. */
constexpr milliseconds kMinOutdatedNoticeInterval{20};
/** Time that a message usually takes at most, with its handling, from one instance to another. */
constexpr milliseconds kMaxTransitTime{20};
/** Load reports older than this are not gossiped. */
constexpr milliseconds kMaxGossipedLoadAge{200};
/** Load reports that this instance got itself within this time are not replaced by a peer's. */
constexpr milliseconds kOwnReportFreshTime{100};

/** The set of peers that a message may go to. */
enum class PeerFilter { kAlive, kAliveSameDomain, kSilent };

bool MatchesFilter(const StateParts& parts, const Membership::Entry& entry, PeerFilter filter, TimePoint now) {
  const bool alive = parts.members.IsAlive(entry, now);
  if (filter == PeerFilter::kSilent)
    return !alive;
  return alive && (filter == PeerFilter::kAlive || entry.member.failure_domain == parts.self.failure_domain);
}

const Membership::Entry* RandomPeer(StateParts& parts, PeerFilter filter, TimePoint now) {
  const auto& entries = parts.members.All();
  if (entries.empty())
    return nullptr;
  const size_t start = parts.random() % entries.size();
  for (size_t step = 0; step < entries.size(); ++step) {
    const Membership::Entry& entry = entries[(start + step) % entries.size()];
    const bool self = entry.member.name == parts.self.name;
    if (!self && MatchesFilter(parts, entry, filter, now))
      return &entry;
  }
  return nullptr;
}

/** Chooses mostly peers in the same failure domain, where traffic is cheap, and sometimes silent ones. */
PeerFilter RandomFilter(StateParts& parts) {
  if (parts.random() % kSilentPeerOdds == 0)
    return PeerFilter::kSilent;
  return parts.random() % kAnyDomainPeerOdds == 0 ? PeerFilter::kAlive : PeerFilter::kAliveSameDomain;
}

}  // namespace

std::string RandomPeerAddress(StateParts& parts, TimePoint now) {
  const Membership::Entry* peer = RandomPeer(parts, RandomFilter(parts), now);
  for (const PeerFilter filter : {PeerFilter::kAliveSameDomain, PeerFilter::kAlive, PeerFilter::kSilent}) {
    if (peer == nullptr)
      peer = RandomPeer(parts, filter, now);
  }
  if (peer != nullptr)
    return peer->member.peer_address;
  std::vector<std::string> seeds = parts.options.seed_peers;
  std::erase(seeds, parts.self.peer_address);
  return seeds.empty() ? std::string() : seeds[parts.random() % seeds.size()];
}

std::string SameDomainPeerAddress(StateParts& parts, TimePoint now) {
  const Membership::Entry* peer = RandomPeer(parts, PeerFilter::kAliveSameDomain, now);
  return peer == nullptr ? RandomPeerAddress(parts, now) : peer->member.peer_address;
}

namespace {

bool ShouldGossip(const StateParts& parts, const Membership::Entry& entry, TimePoint now) {
  return parts.members.IsAlive(entry, now) && entry.member.incarnation != 0;
}

/** Adds members, starting at a random position; with `only_news`, only those that changed within kMemberNewsAge. */
void AddMembers(StateParts& parts, bool only_news, TimePoint now, GossipMessage& message) {
  const auto& entries = parts.members.All();
  const size_t start = entries.empty() ? 0 : parts.random() % entries.size();
  for (size_t step = 0; step < entries.size() && message.members.size() < kMaxMembersPerMessage; ++step) {
    const Membership::Entry& entry = entries[(start + step) % entries.size()];
    const bool is_news = now - entry.changed_at < kMemberNewsAge;
    if (ShouldGossip(parts, entry, now) && (is_news || !only_news))
      message.members.push_back(entry.member);
  }
}

void AddHeartbeats(StateParts& parts, TimePoint now, GossipMessage& message) {
  const auto& entries = parts.members.All();
  const size_t start = entries.empty() ? 0 : parts.random() % entries.size();
  for (size_t step = 0; step < entries.size() && message.heartbeats.size() < kMaxHeartbeatsPerMessage; ++step) {
    const Membership::Entry& entry = entries[(start + step) % entries.size()];
    if (ShouldGossip(parts, entry, now))
      message.heartbeats.push_back({entry.heartbeat_id, entry.member.heartbeat});
  }
}

void AddLoads(StateParts& parts, TimePoint now, GossipMessage& message) {
  const size_t count = parts.endpoints.Size();
  const size_t start = count == 0 ? 0 : parts.random() % count;
  // Bounds the number of endpoints visited, so that the cost does not grow with the lists.
  constexpr size_t kMaxVisited = 4 * kMaxLoadsPerMessage;
  for (size_t step = 0; step < std::min(count, kMaxVisited) && message.loads.size() < kMaxLoadsPerMessage; ++step) {
    const EndpointState& state = parts.At(EndpointHandle(static_cast<uint32_t>((start + step) % count)));
    if (!state.active || now - state.reported_at > kMaxGossipedLoadAge)
      continue;
    message.loads.push_back(
        {state.name_hash, state.reported_in_flight, duration_cast<milliseconds>(now - state.reported_at)});
  }
}

/** Age of a confirmation when a message reaches its receiver: what circulates must not seem younger with each hop. */
milliseconds AgeOnArrival(TimePoint confirmed_at, TimePoint now) {
  return ceil<milliseconds>(now - confirmed_at) + kMaxTransitTime;
}

/** Makes a message with only the sender, the generation of its lists and digests of what it knows. */
std::shared_ptr<GossipMessage> MakeBaseMessage(const StateParts& parts, TimePoint now) {
  auto message = std::make_shared<GossipMessage>();
  message->sender = parts.self;
  message->generation = parts.lists.generation;
  message->store_age = AgeOnArrival(parts.lists.store_confirmed_at, now);
  message->lists_confirmed_age = KeyConfirmationAge(parts, now);
  message->endpoints_digest = parts.feed.Digest();
  message->endpoints_as_of = parts.feed.CompleteRevision(now);
  message->leaving_digest = parts.rumors.LeavingDigest();
  message->endpoints_age = AgeOnArrival(parts.feed.confirmed_at, now);
  message->evacuations = parts.evacuations.known;
  return message;
}

std::shared_ptr<GossipMessage> MakeFullMessage(StateParts& parts, TimePoint now) {
  std::shared_ptr<GossipMessage> message = MakeBaseMessage(parts, now);
  parts.rumors.Pick(kMaxRumorsPerMessage, now, parts.random, message->rumors);
  AddMembers(parts, true, now, *message);
  AddMembers(parts, false, now, *message);
  AddHeartbeats(parts, now, *message);
  // If endpoints are queried before each attempt, the older load report of a peer is of no use.
  if (!parts.options.ask_first)
    AddLoads(parts, now, *message);
  return message;
}

/** Replies to the query of a peer with all rumors known to this instance. */
void ReplyToQuery(StateParts& parts, const GossipMessage& query, TimePoint now, Effects& effects) {
  size_t sent = 0;
  do {
    std::shared_ptr<GossipMessage> message = MakeBaseMessage(parts, now);
    message->reply_to = query.ask;
    parts.rumors.CopyNewest(sent, kMaxRumorsPerReply, now, message->rumors);
    effects.push_back(Effect::SendGossip{query.sender.peer_address, std::move(message)});
    sent += kMaxRumorsPerReply;
  } while (sent < parts.rumors.Size());
}

/**
 * Asks a peer for all its rumors if it knows other leaving endpoints, as when one of the two has just started or was
 * disconnected.
 */
void QueryIfLeavingDiffers(StateParts& parts, const GossipMessage& message, TimePoint now, Effects& effects) {
  const bool same = message.leaving_digest == parts.rumors.LeavingDigest();
  if (same || message.reply_to != 0 || now - parts.last_leaving_query < kMinLeavingQueryInterval)
    return;
  parts.last_leaving_query = now;
  QueryPeer(parts, message.sender.peer_address, parts.random(), now, effects);
}

/** Notifies a peer with outdated lists, endpoints or evacuations: this instance may be the only one with the newer data
 * so far. */
void NotifyIfOutdated(StateParts& parts, const GossipMessage& message, TimePoint now, Effects& effects) {
  const bool older_lists = message.generation < parts.lists.generation;
  const bool other_endpoints = message.endpoints_digest != parts.feed.Digest();
  const bool older_endpoints = other_endpoints && now - message.endpoints_age < parts.feed.confirmed_at;
  const bool behind =
      parts.options.discovery && (older_lists || older_endpoints || HasOutdatedEvacuations(parts, message));
  if (!behind || now - parts.last_outdated_notice < kMinOutdatedNoticeInterval)
    return;
  parts.last_outdated_notice = now;
  effects.push_back(Effect::SendGossip{message.sender.peer_address, MakeBaseMessage(parts, now)});
}

/** If the suspected request was recently answered, spreads that instead of the suspicion; returns whether it did. */
bool RefuteSuspicion(StateParts& parts, uint64_t fingerprint, TimePoint now) {
  if (!parts.quarantine.WasRecentlyAnswered(fingerprint, now))
    return false;
  SpreadRumor(parts, {GossipMessage::Rumor::Kind::kAnswered, fingerprint, 0, Quarantine::kRecentAnswerLifetime}, now);
  return true;
}

void ApplyRumor(StateParts& parts, const GossipMessage::Rumor& rumor, TimePoint now) {
  using Kind = GossipMessage::Rumor::Kind;
  switch (rumor.kind) {
    case Kind::kLeaving: {
      const EndpointHandle endpoint = parts.endpoints.FindByHash(rumor.subject);
      if (endpoint.IsValid())
        parts.endpoints.MarkLeaving(endpoint, rumor.detail);
      else if (rumor.detail != 0)
        parts.endpoints.MarkUnlistedLeaving(rumor.subject, rumor.detail, now);
      break;
    }
    case Kind::kReturned: {
      const EndpointHandle endpoint = parts.endpoints.FindByHash(rumor.subject);
      if (endpoint.IsValid())
        parts.endpoints.RecordIncarnation(endpoint, rumor.detail, now);
      break;
    }
    case Kind::kSuspect:
      if (RefuteSuspicion(parts, rumor.subject, now))
        return;
      parts.quarantine.RecordBrokenConnection(rumor.subject, rumor.detail, now);
      break;
    case Kind::kQuarantine:
      if (RefuteSuspicion(parts, rumor.subject, now))
        return;
      if (parts.quarantine.Add(rumor.subject, now + rumor.lifetime, now))
        LogQuarantined(parts, rumor.subject, rumor.lifetime, "peer");
      break;
    case Kind::kAnswered:
      parts.quarantine.RecordAnswer(rumor.subject, now);
      break;
  }
  SpreadRumor(parts, rumor, now);
}

void SendToPeers(StateParts& parts,
                 PeerFilter filter,
                 const std::shared_ptr<const GossipMessage>& message,
                 TimePoint now,
                 Effects& effects) {
  for (const Membership::Entry& entry : parts.members.All()) {
    const bool self = entry.member.name == parts.self.name;
    if (!self && MatchesFilter(parts, entry, filter, now))
      effects.push_back(Effect::SendGossip{entry.member.peer_address, message});
  }
}

/** Tells the own failure domain of a member that leaves: an instance that misses it would name it to callers. */
void RelayLeavingMember(StateParts& parts, const Member& member, TimePoint now, Effects& effects) {
  std::shared_ptr<GossipMessage> message = MakeBaseMessage(parts, now);
  message->members.push_back(member);
  SendToPeers(parts, PeerFilter::kAliveSameDomain, message, now, effects);
}

void ApplyLoad(StateParts& parts, const GossipMessage::EndpointLoad& load, TimePoint now) {
  const EndpointHandle endpoint = parts.endpoints.FindByHash(load.endpoint);
  if (!endpoint.IsValid())
    return;
  EndpointState& state = parts.At(endpoint);
  const TimePoint reported_at = now - load.age;
  if (now - state.reported_at < kOwnReportFreshTime || reported_at <= state.reported_at)
    return;
  state.reported_in_flight = load.in_flight;
  state.own_in_flight_at_report = state.in_flight;
  state.reported_at = reported_at;
}

}  // namespace

void OnGossipReceived(StateParts& parts, const Event::GossipReceived& event, Effects& effects) {
  const GossipMessage& message = event.message;
  if (message.sender.name == parts.self.name)
    return;
  // Maintenance runs at once: another instance takes over from one that loses the store.
  if (parts.members.UpdateStoreReachable(message.sender.name, message.sender.store_reachable, message.sender.heartbeat))
    parts.next_maintenance = event.now;
  const bool is_new_member = parts.members.Find(message.sender.name) == nullptr;
  const bool was_leaving = parts.members.IsLeaving(message.sender);
  parts.members.MergeMember(message.sender, event.now);
  if (message.relay && message.sender.leaving && !was_leaving)
    RelayLeavingMember(parts, message.sender, event.now, effects);
  // A member that has just started knows only the seed peers.
  if (is_new_member && message.reply_to == 0)
    effects.push_back(Effect::SendGossip{message.sender.peer_address, MakeFullMessage(parts, event.now)});
  for (const Member& member : message.members) {
    if (member.name != parts.self.name)
      parts.members.MergeMember(member, event.now);
  }
  for (const GossipMessage::Heartbeat& heartbeat : message.heartbeats)
    parts.members.MergeHeartbeat(heartbeat.id, heartbeat.heartbeat, event.now);
  for (const GossipMessage::Rumor& rumor : message.rumors)
    ApplyRumor(parts, rumor, event.now);
  for (const GossipMessage::EndpointLoad& load : message.loads)
    ApplyLoad(parts, load, event.now);
  ApplyEndpointsFromPeer(parts, message, event.now, effects);
  ApplyEvacuationsFromPeer(parts, message, event.now, effects);
  if (message.ask != 0)
    ReplyToQuery(parts, message, event.now, effects);
  OnWatcherReply(parts, message, event.now);
  OnKeyQueryReply(parts, message, event.now);
  QueryIfLeavingDiffers(parts, message, event.now, effects);
  NotifyIfOutdated(parts, message, event.now, effects);
  OnQuotaMessage(parts, message, event.now, effects);
  ListsTracker& lists = parts.lists;
  if (message.generation > lists.generation && message.generation >= lists.announced_generation) {
    lists.announced_generation = message.generation;
    lists.announced_at = event.now;
  }
  const bool confirms = message.reply_to != 0 && message.reply_to == lists.revalidation_query;
  const bool same_endpoints = !parts.options.discovery || message.endpoints_digest == parts.feed.Digest();
  if (confirms && same_endpoints && message.generation <= lists.generation)
    lists.revalidate_until = {};
  if (message.generation > lists.generation && event.now - lists.last_fetch >= kMinListsFetchInterval) {
    lists.last_fetch = event.now;
    effects.push_back(Effect::FetchLists{message.sender.peer_address, message.generation});
  }
  // The store holds no generation above the sender's, so it holds none above this instance's, which is at least as
  // high.
  if (message.generation <= lists.generation)
    lists.store_confirmed_at = std::max(lists.store_confirmed_at, event.now - message.store_age);
}

void SendGossipRound(StateParts& parts, TimePoint now, Effects& effects) {
  ++parts.self.heartbeat;
  parts.self.epoch = parts.EpochAt(now);
  parts.members.MergeMember(parts.self, now);
  std::shared_ptr<const GossipMessage> message = MakeFullMessage(parts, now);
  for (size_t i = 0; i < parts.options.gossip_fanout; ++i) {
    std::string address = RandomPeerAddress(parts, now);
    if (!address.empty())
      effects.push_back(Effect::SendGossip{std::move(address), message});
  }
}

namespace {

/** Sends to a few random peers in each other failure domain; to leaving ones only where there are too few others. */
void SendToRelays(StateParts& parts,
                  const std::shared_ptr<const GossipMessage>& message,
                  TimePoint now,
                  Effects& effects) {
  const auto& entries = parts.members.All();
  absl::flat_hash_map<std::string_view, size_t> chosen;
  const size_t start = entries.empty() ? 0 : parts.random() % entries.size();
  for (const bool leaving : {false, true}) {
    for (size_t step = 0; step < entries.size(); ++step) {
      const Membership::Entry& entry = entries[(start + step) % entries.size()];
      const bool other_domain = entry.member.failure_domain != parts.self.failure_domain;
      if (!other_domain || entry.member.leaving != leaving || !parts.members.IsAlive(entry, now) ||
          chosen[entry.member.failure_domain]++ >= kRelaysPerDomain)
        continue;
      effects.push_back(Effect::SendGossip{entry.member.peer_address, message});
    }
  }
}

/** Sends to every peer of this instance's failure domain, and to the others through relays there. */
void SendToAll(StateParts& parts,
               const std::shared_ptr<const GossipMessage>& message,
               TimePoint now,
               Effects& effects) {
  SendToPeers(parts, PeerFilter::kAliveSameDomain, message, now, effects);
  auto relayed = std::make_shared<GossipMessage>(*message);
  relayed->relay = true;
  SendToRelays(parts, relayed, now, effects);
}

}  // namespace

void AnnounceEndpointChanges(StateParts& parts, std::vector<EndpointChange> changes, TimePoint now, Effects& effects) {
  std::shared_ptr<GossipMessage> message = MakeBaseMessage(parts, now);
  message->endpoint_changes = std::move(changes);
  SendToAll(parts, message, now, effects);
}

void RelayEndpointChanges(StateParts& parts, std::vector<EndpointChange> changes, TimePoint now, Effects& effects) {
  std::shared_ptr<GossipMessage> message = MakeBaseMessage(parts, now);
  message->endpoint_changes = std::move(changes);
  SendToPeers(parts, PeerFilter::kAliveSameDomain, message, now, effects);
}

void AnnounceLists(StateParts& parts, TimePoint now, Effects& effects) {
  const std::shared_ptr<const GossipMessage> message = MakeBaseMessage(parts, now);
  for (size_t i = 0; i < kPeersPerListsAnnouncement; ++i) {
    std::string address = SameDomainPeerAddress(parts, now);
    if (!address.empty())
      effects.push_back(Effect::SendGossip{std::move(address), message});
  }
  if (parts.lists.watching)
    SendToRelays(parts, message, now, effects);
}

void AnnounceLeaving(StateParts& parts, TimePoint now, Effects& effects) {
  SendToAll(parts, MakeBaseMessage(parts, now), now, effects);
}

void AnnounceEvacuations(StateParts& parts, TimePoint now, Effects& effects) {
  SendToAll(parts, MakeBaseMessage(parts, now), now, effects);
}

void RelayEvacuations(StateParts& parts, TimePoint now, Effects& effects) {
  SendToPeers(parts, PeerFilter::kAliveSameDomain, MakeBaseMessage(parts, now), now, effects);
}

void AnnounceState(StateParts& parts, TimePoint now, Effects& effects) {
  SendToPeers(parts, PeerFilter::kAlive, MakeBaseMessage(parts, now), now, effects);
}

void AnnounceStateTo(StateParts& parts, const std::string& address, TimePoint now, Effects& effects) {
  effects.push_back(Effect::SendGossip{address, MakeBaseMessage(parts, now)});
}

void QueryPeer(StateParts& parts, const std::string& address, uint64_t query_id, TimePoint now, Effects& effects) {
  std::shared_ptr<GossipMessage> query = MakeBaseMessage(parts, now);
  query->ask = query_id;
  effects.push_back(Effect::SendGossip{address, std::move(query)});
}

void QueryPeersForRevalidation(StateParts& parts, TimePoint now, Effects& effects) {
  parts.lists.revalidation_query = parts.random();
  auto message = MakeFullMessage(parts, now);
  message->ask = parts.lists.revalidation_query;
  for (size_t i = 0; i < kPeersQueriedAfterPause; ++i) {
    std::string address = RandomPeerAddress(parts, now);
    if (!address.empty())
      effects.push_back(Effect::SendGossip{std::move(address), message});
  }
}

void SendQuotaRequest(StateParts& parts,
                      const std::string& address,
                      const GossipMessage::QuotaRequest& request,
                      TimePoint now,
                      Effects& effects) {
  std::shared_ptr<GossipMessage> message = MakeBaseMessage(parts, now);
  message->quota_requests.push_back(request);
  effects.push_back(Effect::SendGossip{address, std::move(message)});
}

void SendQuotaGrants(StateParts& parts,
                     const std::string& address,
                     std::vector<GossipMessage::QuotaGrant> grants,
                     TimePoint now,
                     Effects& effects) {
  std::shared_ptr<GossipMessage> message = MakeBaseMessage(parts, now);
  message->quota_grants = std::move(grants);
  effects.push_back(Effect::SendGossip{address, std::move(message)});
}

void FetchListsFromPeers(StateParts& parts, size_t count, Effects& effects) {
  const auto& entries = parts.members.All();
  const auto& seeds = parts.options.seed_peers;
  size_t queried = 0;
  const size_t start = entries.empty() ? 0 : parts.random() % entries.size();
  for (size_t step = 0; step < entries.size() && queried < count; ++step) {
    const Member& member = entries[(start + step) % entries.size()].member;
    if (member.name == parts.self.name)
      continue;
    effects.push_back(Effect::FetchLists{member.peer_address});
    ++queried;
  }
  for (size_t i = 0; i < seeds.size() && queried < count; ++i, ++queried)
    effects.push_back(Effect::FetchLists{seeds[i]});
}

}  // namespace sassafras
