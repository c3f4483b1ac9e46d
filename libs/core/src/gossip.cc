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
#include "endpoint_news.h"
#include "parts.h"
#include "watchers.h"

namespace sassafras {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr size_t kRumorsPerMessage = 8;
constexpr size_t kRumorsPerReply = 24;
/** Peers asked after a pause. */
constexpr size_t kPeersAsked = 2;
constexpr size_t kMembersPerMessage = 2;
constexpr size_t kHeartbeatsPerMessage = 48;
/** A member that this instance learned of in this time goes before others, so that joins spread. */
constexpr std::chrono::seconds kNewMember{5};
constexpr size_t kLoadsPerMessage = 8;
/** One round in this many goes to a peer that has been silent, so that parted regions find each other. */
constexpr uint64_t kSilentPeerRounds = 8;
/** One round in this many of the others goes to a peer of any failure domain, not to one of this instance's. */
constexpr uint64_t kFarPeerRounds = 4;
/** Peers that each instance tells of lists that it has just put in force. */
constexpr size_t kPeersToldOfLists = 3;
/** Peers in each other failure domain that pass news on there. */
constexpr size_t kRelays = 2;
/** Lists are asked for at most this often. */
constexpr milliseconds kFetchPeriod{200};
/** News of leaving endpoints is compared with that of a peer at most this often. */
constexpr milliseconds kComparePeriod{100};
/** Peers that lag behind are told so at most this often. */
constexpr milliseconds kTellPeriod{20};
/** Load reports older than this are not passed on. */
constexpr milliseconds kMaxLoadAge{200};
/** Own reports younger than this are not replaced by a peer's. */
constexpr milliseconds kOwnReportFresh{100};

/** Which peers a message may go to. */
enum class Reach { kAlive, kAliveNear, kSilent };

bool IsWithin(const Parts& parts, const Membership::Entry& entry, Reach reach, TimePoint now) {
  const bool alive = parts.members.IsAlive(entry, now);
  if (reach == Reach::kSilent)
    return !alive;
  return alive && (reach == Reach::kAlive || entry.member.failure_domain == parts.self.failure_domain);
}

const Membership::Entry* RandomPeer(Parts& parts, Reach reach, TimePoint now) {
  const auto& entries = parts.members.All();
  if (entries.empty())
    return nullptr;
  const size_t start = parts.random() % entries.size();
  for (size_t step = 0; step < entries.size(); ++step) {
    const Membership::Entry& entry = entries[(start + step) % entries.size()];
    const bool self = entry.member.name == parts.self.name;
    if (!self && IsWithin(parts, entry, reach, now))
      return &entry;
  }
  return nullptr;
}

/** Most messages stay in the failure domain, where they are cheap; a few find silent peers. */
Reach DrawReach(Parts& parts) {
  if (parts.random() % kSilentPeerRounds == 0)
    return Reach::kSilent;
  return parts.random() % kFarPeerRounds == 0 ? Reach::kAlive : Reach::kAliveNear;
}

}  // namespace

std::string RandomPeerAddress(Parts& parts, TimePoint now) {
  const Membership::Entry* peer = RandomPeer(parts, DrawReach(parts), now);
  for (const Reach reach : {Reach::kAliveNear, Reach::kAlive, Reach::kSilent}) {
    if (peer == nullptr)
      peer = RandomPeer(parts, reach, now);
  }
  if (peer != nullptr)
    return peer->member.peer_address;
  std::vector<std::string> seeds = parts.options.seed_peers;
  std::erase(seeds, parts.self.peer_address);
  return seeds.empty() ? std::string() : seeds[parts.random() % seeds.size()];
}

std::string NearPeerAddress(Parts& parts, TimePoint now) {
  const Membership::Entry* peer = RandomPeer(parts, Reach::kAliveNear, now);
  return peer == nullptr ? RandomPeerAddress(parts, now) : peer->member.peer_address;
}

namespace {

bool IsWorthTelling(const Parts& parts, const Membership::Entry& entry, TimePoint now) {
  return parts.members.IsAlive(entry, now) && entry.member.incarnation != 0;
}

/** Adds members from a random position on; with `only_new`, those that were learned of a short time ago. */
void AddMembers(Parts& parts, bool only_new, TimePoint now, GossipMessage& message) {
  const auto& entries = parts.members.All();
  const size_t start = entries.empty() ? 0 : parts.random() % entries.size();
  for (size_t step = 0; step < entries.size() && message.members.size() < kMembersPerMessage; ++step) {
    const Membership::Entry& entry = entries[(start + step) % entries.size()];
    const bool is_new = now - entry.learned_at < kNewMember;
    if (IsWorthTelling(parts, entry, now) && (is_new || !only_new))
      message.members.push_back(entry.member);
  }
}

void AddHeartbeats(Parts& parts, TimePoint now, GossipMessage& message) {
  const auto& entries = parts.members.All();
  const size_t start = entries.empty() ? 0 : parts.random() % entries.size();
  for (size_t step = 0; step < entries.size() && message.heartbeats.size() < kHeartbeatsPerMessage; ++step) {
    const Membership::Entry& entry = entries[(start + step) % entries.size()];
    if (IsWorthTelling(parts, entry, now))
      message.heartbeats.push_back({entry.heartbeat_id, entry.member.heartbeat});
  }
}

void AddLoads(Parts& parts, TimePoint now, GossipMessage& message) {
  const size_t count = parts.endpoints.Size();
  const size_t start = count == 0 ? 0 : parts.random() % count;
  // Looks at a bounded number of endpoints, whatever the size of the lists.
  constexpr size_t kLooks = 4 * kLoadsPerMessage;
  for (size_t step = 0; step < std::min(count, kLooks) && message.loads.size() < kLoadsPerMessage; ++step) {
    const EndpointState& state = parts.At(EndpointHandle(static_cast<uint32_t>((start + step) % count)));
    if (!state.active || now - state.reported_at > kMaxLoadAge)
      continue;
    message.loads.push_back(
        {state.name_hash, state.reported_in_flight, duration_cast<milliseconds>(now - state.reported_at)});
  }
}

/** A message that says only who sends it and which lists it holds. */
std::shared_ptr<GossipMessage> StartMessage(const Parts& parts, TimePoint now) {
  auto message = std::make_shared<GossipMessage>();
  message->sender = parts.self;
  message->generation = parts.lists.generation;
  message->store_age = duration_cast<milliseconds>(now - parts.lists.store_confirmed_at);
  message->endpoints_digest = parts.feed.Digest();
  message->endpoints_as_of = parts.feed.CompleteRevision(now);
  message->leaving_digest = parts.rumors.LeavingDigest();
  message->endpoints_age = duration_cast<milliseconds>(now - parts.feed.confirmed_at);
  return message;
}

std::shared_ptr<GossipMessage> MakeMessage(Parts& parts, TimePoint now) {
  std::shared_ptr<GossipMessage> message = StartMessage(parts, now);
  parts.rumors.Pick(kRumorsPerMessage, now, parts.random, message->rumors);
  AddMembers(parts, true, now, *message);
  AddMembers(parts, false, now, *message);
  AddHeartbeats(parts, now, *message);
  // Where endpoints are asked before each attempt, a peer's older report is of no use.
  if (!parts.options.ask_first)
    AddLoads(parts, now, *message);
  return message;
}

/** Answers a peer that asked for all that is known here. */
void Reply(Parts& parts, const GossipMessage& question, TimePoint now, Effects& effects) {
  size_t told = 0;
  do {
    std::shared_ptr<GossipMessage> message = StartMessage(parts, now);
    message->reply_to = question.ask;
    parts.rumors.Peek(told, kRumorsPerReply, now, message->rumors);
    effects.push_back(Effect::SendGossip{question.sender.peer_address, std::move(message)});
    told += kRumorsPerReply;
  } while (told < parts.rumors.Size());
}

/** Asks a peer for all that it knows if it knows of other leaving endpoints: it started, or one of the two was cut. */
void AskIfDifferent(Parts& parts, const GossipMessage& message, TimePoint now, Effects& effects) {
  const bool same = message.leaving_digest == parts.rumors.LeavingDigest();
  if (same || message.reply_to != 0 || now - parts.last_compared < kComparePeriod)
    return;
  parts.last_compared = now;
  AskPeer(parts, message.sender.peer_address, parts.random(), now, effects);
}

/** Tells a peer that lags behind what is held here: others may not know it yet, and then nobody else would. */
void TellIfBehind(Parts& parts, const GossipMessage& message, TimePoint now, Effects& effects) {
  const bool older_lists = message.generation < parts.lists.generation;
  const bool other_endpoints = message.endpoints_digest != parts.feed.Digest();
  const bool older_endpoints = other_endpoints && now - message.endpoints_age < parts.feed.confirmed_at;
  const bool behind = parts.options.discovery && (older_lists || older_endpoints);
  if (!behind || now - parts.last_told < kTellPeriod)
    return;
  parts.last_told = now;
  effects.push_back(Effect::SendGossip{message.sender.peer_address, StartMessage(parts, now)});
}

/** Tells peers that suspect a request that it was answered here; returns whether it was. */
bool Contradict(Parts& parts, uint64_t fingerprint, TimePoint now) {
  if (!parts.quarantine.WasRecentlyAnswered(fingerprint, now))
    return false;
  SpreadRumor(parts, {GossipMessage::Rumor::Kind::kProven, fingerprint, 0, Quarantine::kRecentAnswerLifetime}, now);
  return true;
}

void ApplyRumor(Parts& parts, const GossipMessage::Rumor& rumor, TimePoint now) {
  using Kind = GossipMessage::Rumor::Kind;
  switch (rumor.kind) {
    case Kind::kLeaving: {
      const EndpointHandle endpoint = parts.endpoints.FindByHash(rumor.subject);
      if (endpoint.IsValid())
        parts.endpoints.MarkLeaving(endpoint, rumor.detail);
      break;
    }
    case Kind::kReturned: {
      const EndpointHandle endpoint = parts.endpoints.FindByHash(rumor.subject);
      if (endpoint.IsValid())
        parts.endpoints.RecordIncarnation(endpoint, rumor.detail, now);
      break;
    }
    case Kind::kSuspect:
      if (Contradict(parts, rumor.subject, now))
        return;
      parts.quarantine.RecordCrash(rumor.subject, rumor.detail, now);
      break;
    case Kind::kQuarantine:
      if (Contradict(parts, rumor.subject, now))
        return;
      if (parts.quarantine.Add(rumor.subject, now + rumor.lifetime, now))
        LogQuarantined(parts, rumor.subject, rumor.lifetime, "peer");
      break;
    case Kind::kProven:
      parts.quarantine.RecordAnswer(rumor.subject, now);
      break;
  }
  SpreadRumor(parts, rumor, now);
}

void ApplyLoad(Parts& parts, const GossipMessage::EndpointLoad& load, TimePoint now) {
  const EndpointHandle endpoint = parts.endpoints.FindByHash(load.endpoint);
  if (!endpoint.IsValid())
    return;
  EndpointState& state = parts.At(endpoint);
  const TimePoint reported_at = now - load.age;
  if (now - state.reported_at < kOwnReportFresh || reported_at <= state.reported_at)
    return;
  state.reported_in_flight = load.in_flight;
  state.own_in_flight_at_report = state.in_flight;
  state.reported_at = reported_at;
}

}  // namespace

void OnGossipReceived(Parts& parts, const Event::GossipReceived& event, Effects& effects) {
  const GossipMessage& message = event.message;
  if (message.sender.name == parts.self.name)
    return;
  // Whoever loses the store hands its reading of it on at once.
  if (parts.members.NoteReaching(message.sender.name, message.sender.store_reachable, message.sender.heartbeat))
    parts.next_role_check = event.now;
  const bool newcomer = parts.members.Find(message.sender.name) == nullptr;
  parts.members.Heard(message.sender, event.now);
  // Whoever has just started knows only where to ask first.
  if (newcomer && message.reply_to == 0)
    effects.push_back(Effect::SendGossip{message.sender.peer_address, MakeMessage(parts, event.now)});
  for (const Member& member : message.members) {
    if (member.name != parts.self.name)
      parts.members.Heard(member, event.now);
  }
  for (const GossipMessage::Heartbeat& heartbeat : message.heartbeats)
    parts.members.HeardHeartbeat(heartbeat.id, heartbeat.heartbeat, event.now);
  for (const GossipMessage::Rumor& rumor : message.rumors)
    ApplyRumor(parts, rumor, event.now);
  for (const GossipMessage::EndpointLoad& load : message.loads)
    ApplyLoad(parts, load, event.now);
  LearnEndpointsFromPeer(parts, message, event.now, effects);
  if (message.ask != 0)
    Reply(parts, message, event.now, effects);
  NoteWatcherAnswer(parts, message);
  AskIfDifferent(parts, message, event.now, effects);
  TellIfBehind(parts, message, event.now, effects);
  ListsTracker& lists = parts.lists;
  const bool confirms = message.reply_to != 0 && message.reply_to == lists.asked;
  const bool same_endpoints = !parts.options.discovery || message.endpoints_digest == parts.feed.Digest();
  if (confirms && same_endpoints && message.generation <= lists.generation)
    lists.revalidate_until = {};
  if (message.generation > lists.generation && event.now - lists.last_fetch >= kFetchPeriod) {
    lists.last_fetch = event.now;
    effects.push_back(Effect::FetchLists{message.sender.peer_address, message.generation});
  }
  // The proof speaks of the sender's generation, so it holds for a generation that is no lower.
  if (message.generation <= lists.generation)
    lists.store_confirmed_at = std::max(lists.store_confirmed_at, event.now - message.store_age);
}

void SendGossipRound(Parts& parts, TimePoint now, Effects& effects) {
  ++parts.self.heartbeat;
  parts.self.epoch = parts.EpochAt(now);
  parts.members.Heard(parts.self, now);
  std::shared_ptr<const GossipMessage> message = MakeMessage(parts, now);
  for (size_t i = 0; i < parts.options.gossip_fanout; ++i) {
    std::string address = RandomPeerAddress(parts, now);
    if (!address.empty())
      effects.push_back(Effect::SendGossip{std::move(address), message});
  }
}

namespace {

void SendToPeers(Parts& parts,
                 Reach reach,
                 const std::shared_ptr<const GossipMessage>& message,
                 TimePoint now,
                 Effects& effects) {
  for (const Membership::Entry& entry : parts.members.All()) {
    const bool self = entry.member.name == parts.self.name;
    if (!self && IsWithin(parts, entry, reach, now))
      effects.push_back(Effect::SendGossip{entry.member.peer_address, message});
  }
}

/** Sends to a few peers in each other failure domain, drawn at random. */
void SendToRelays(Parts& parts, const std::shared_ptr<const GossipMessage>& message, TimePoint now, Effects& effects) {
  const auto& entries = parts.members.All();
  absl::flat_hash_map<std::string_view, size_t> chosen;
  const size_t start = entries.empty() ? 0 : parts.random() % entries.size();
  for (size_t step = 0; step < entries.size(); ++step) {
    const Membership::Entry& entry = entries[(start + step) % entries.size()];
    const bool far = entry.member.failure_domain != parts.self.failure_domain;
    if (!far || !parts.members.IsAlive(entry, now) || chosen[entry.member.failure_domain]++ >= kRelays)
      continue;
    effects.push_back(Effect::SendGossip{entry.member.peer_address, message});
  }
}

}  // namespace

void TellOfEndpoints(Parts& parts, std::vector<EndpointChange> changes, TimePoint now, Effects& effects) {
  std::shared_ptr<GossipMessage> message = StartMessage(parts, now);
  message->endpoint_changes = std::move(changes);
  SendToPeers(parts, Reach::kAliveNear, message, now, effects);
  auto relayed = std::make_shared<GossipMessage>(*message);
  relayed->relay = true;
  SendToRelays(parts, relayed, now, effects);
}

void RelayEndpoints(Parts& parts, std::vector<EndpointChange> changes, TimePoint now, Effects& effects) {
  std::shared_ptr<GossipMessage> message = StartMessage(parts, now);
  message->endpoint_changes = std::move(changes);
  SendToPeers(parts, Reach::kAliveNear, message, now, effects);
}

void TellOfLists(Parts& parts, TimePoint now, Effects& effects) {
  const std::shared_ptr<const GossipMessage> message = StartMessage(parts, now);
  for (size_t i = 0; i < kPeersToldOfLists; ++i) {
    std::string address = NearPeerAddress(parts, now);
    if (!address.empty())
      effects.push_back(Effect::SendGossip{std::move(address), message});
  }
  if (parts.lists.watching)
    SendToRelays(parts, message, now, effects);
}

void TellOfSelf(Parts& parts, TimePoint now, Effects& effects) {
  SendToPeers(parts, Reach::kAlive, StartMessage(parts, now), now, effects);
}

void AskPeer(Parts& parts, const std::string& address, uint64_t number, TimePoint now, Effects& effects) {
  std::shared_ptr<GossipMessage> question = StartMessage(parts, now);
  question->ask = number;
  effects.push_back(Effect::SendGossip{address, std::move(question)});
}

void AskPeers(Parts& parts, TimePoint now, Effects& effects) {
  parts.lists.asked = parts.random();
  auto message = MakeMessage(parts, now);
  message->ask = parts.lists.asked;
  for (size_t i = 0; i < kPeersAsked; ++i) {
    std::string address = RandomPeerAddress(parts, now);
    if (!address.empty())
      effects.push_back(Effect::SendGossip{std::move(address), message});
  }
}

void AskPeersForLists(Parts& parts, size_t count, Effects& effects) {
  const auto& entries = parts.members.All();
  const auto& seeds = parts.options.seed_peers;
  size_t asked = 0;
  const size_t start = entries.empty() ? 0 : parts.random() % entries.size();
  for (size_t step = 0; step < entries.size() && asked < count; ++step) {
    const Member& member = entries[(start + step) % entries.size()].member;
    if (member.name == parts.self.name)
      continue;
    effects.push_back(Effect::FetchLists{member.peer_address});
    ++asked;
  }
  for (size_t i = 0; i < seeds.size() && asked < count; ++i, ++asked)
    effects.push_back(Effect::FetchLists{seeds[i]});
}

}  // namespace sassafras
