#include "discovery.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <random>

#include "base/backoff.h"
#include "control.h"
#include "core/gossip_message.h"
#include "gossip.h"
#include "lists_apply.h"
#include "parts.h"
#include "roster.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/** Time for entries that lapsed while the store was away to come back. */
constexpr milliseconds kLapseGrace{2'000};
/** Instances that read the store's changes for all. */
constexpr size_t kReaders = 3;
constexpr uint64_t kReaderPurpose = 0x72656164;
constexpr milliseconds kReadPeriod{900};
/** How long a reader waits for a change, and the pause after it saw one. */
constexpr milliseconds kChangeWait{2'000};
constexpr milliseconds kPauseAfterChange{150};
/** Age of the newest proof from which instances that are no readers read too. */
constexpr milliseconds kProofStale{3'500};
/** How long peers may hold other endpoints before an instance reads the store itself. */
constexpr milliseconds kDiffersLimit{1'000};
/** Pause between reads of a starting instance. */
constexpr milliseconds kFirstPause{200};
/** How long a starting instance waits for a peer before it reads the store. */
constexpr milliseconds kStartPeerLimit{60};
/** Changes in one datagram. */
constexpr size_t kChangesPerMessage = 6;

/** How long an endpoint stays in use that the store no longer lists. */
Duration GoneDelay(const Parts& parts, TimePoint now) {
  const EndpointFeed& feed = parts.feed;
  const bool away = feed.store_back_at != TimePoint() && now - feed.store_back_at < kLapseGrace;
  return away ? feed.store_back_at + kLapseGrace - now : Duration::zero();
}

/** Notes for the log what the store says of endpoints, in the words of the latest change. */
void NoteChanges(Parts& parts, const std::vector<EndpointChange>& news, const char* source) {
  constexpr std::array<Note::Kind, 3> kKinds = {Note::Kind::kEndpointServing, Note::Kind::kEndpointLeaving,
                                                Note::Kind::kEndpointGone};
  for (const EndpointChange& change : news) {
    Note note;
    note.kind = kKinds[static_cast<size_t>(change.kind)];
    note.subject = change.row.name;
    note.version = change.revision;
    note.source = source;
    parts.notes.push_back(std::move(note));
  }
}

/** Passes changes on to every peer at once: a change is rare, and late word of it costs requests. */
void Broadcast(Parts& parts, const std::vector<EndpointChange>& news, TimePoint now, Effects& effects) {
  for (size_t start = 0; start < news.size(); start += kChangesPerMessage) {
    const auto first = news.begin() + static_cast<std::ptrdiff_t>(start);
    const auto last = news.begin() + static_cast<std::ptrdiff_t>(std::min(news.size(), start + kChangesPerMessage));
    TellOfEndpoints(parts, std::vector<EndpointChange>(first, last), now, effects);
  }
}

bool IsReader(Parts& parts, TimePoint now) {
  return KnowsFleet(parts, now) && parts.members.RankForReaching(kReaderPurpose, parts.self_hash, now) < kReaders;
}

/** Whether this instance should read the store now; `read` tells how. */
bool IsReadDue(Parts& parts, TimePoint now, Effect::ReadEndpoints& read) {
  EndpointFeed& feed = parts.feed;
  bool& whole = read.whole;
  whole = feed.as_of == 0;
  const Duration since = now - feed.last_read;
  if (feed.failures > 0 && since < StoreRetryDelay(feed.failures))
    return false;
  if (whole) {
    // Word of peers mends a reading that lags, long before anything depends on it.
    read.may_lag = true;
    read.peer_address = NearPeerAddress(parts, now);
    read.peer_first = parts.members.CountServing(now) > 1;
    read.peer_limit = kStartPeerLimit;
    return since >= kFirstPause;
  }
  if (feed.differs_since != TimePoint() && now - feed.differs_since >= kDiffersLimit) {
    feed.differs_since = now;
    whole = true;
    read.peer_address = feed.differs_from;
    read.peer_first = true;
    return true;
  }
  if (since < kReadPeriod)
    return false;
  if (IsReader(parts, now)) {
    read.wait = kChangeWait;
    return true;
  }
  if (now - feed.confirmed_at < kProofStale || !KnowsFleet(parts, now))
    return false;
  // Nobody has news: a few at random try, not all at once.
  const auto fleet = static_cast<double>(std::max<size_t>(1, parts.members.CountServing(now)));
  return std::uniform_real_distribution<double>(0.0, 1.0)(parts.random) < static_cast<double>(kReaders) / fleet;
}

}  // namespace

void OnEndpointsReceived(Parts& parts, const Event::EndpointsReceived& event, Effects& effects) {
  EndpointFeed& feed = parts.feed;
  // Everything up to as_of is known, also of entries that came back as they were before.
  if (event.as_of < feed.as_of)
    return;
  std::vector<EndpointChange> news;
  const Duration gone_delay = GoneDelay(parts, event.now);
  for (const EndpointChange& change : event.changes) {
    if (feed.Apply(change, gone_delay, event.now))
      news.push_back(change);
  }
  if (event.whole)
    feed.RemoveOthers(event.changes, event.as_of, gone_delay, event.now, news);
  const bool first = feed.as_of == 0;
  feed.as_of = event.as_of;
  if (!event.may_lag)
    feed.confirmed_at = std::max(feed.confirmed_at, event.now - event.age);
  // The next change may come at any time.
  feed.last_read = event.now - kReadPeriod + kPauseAfterChange;
  if (event.whole)
    feed.differs_since = {};
  if (first && parts.lists.generation > 0)
    BecomeReady(parts);
  if (news.empty())
    return;
  ApplyDiscovered(parts, event.now);
  // The first reading is one line of its own.
  if (!first)
    NoteChanges(parts, news, event.from_peer ? "peer" : "store");
  if (!first && !event.from_peer)
    Broadcast(parts, news, event.now, effects);
}

void OnStoreRead(Parts& parts, const Event::StoreRead& event, Effects& effects) {
  EndpointFeed& feed = parts.feed;
  const bool changed = parts.self.store_reachable != event.ok;
  if (changed) {
    const bool has_role = parts.lists.watching || IsReader(parts, event.now);
    parts.self.store_reachable = event.ok;
    parts.members.NoteReaching(parts.self.name, event.ok, parts.self.heartbeat);
    parts.next_role_check = event.now;
    // Only of those that read for all does anybody have to know at once.
    if (has_role)
      TellOfSelf(parts, event.now, effects);
  }
  if (!event.ok) {
    ++feed.failures;
    feed.store_failing = true;
    return;
  }
  if (feed.store_failing)
    feed.store_back_at = event.now;
  feed.store_failing = false;
  feed.failures = 0;
}

void LearnEndpointsFromPeer(Parts& parts, const GossipMessage& message, TimePoint now, Effects& effects) {
  if (!parts.options.discovery)
    return;
  EndpointFeed& feed = parts.feed;
  std::vector<EndpointChange> news;
  for (const EndpointChange& change : message.endpoint_changes) {
    // News from before the latest reading, as a frozen instance passes it on when it wakes, would bring back the gone.
    const bool old = change.revision <= feed.as_of;
    if (!old && feed.Apply(change, GoneDelay(parts, now), now))
      news.push_back(change);
  }
  if (!news.empty())
    ApplyDiscovered(parts, now);
  NoteChanges(parts, news, "peer");
  if (!news.empty() && message.relay)
    RelayEndpoints(parts, std::move(news), now, effects);
  if (message.endpoints_as_of == 0)
    return;
  if (message.endpoints_digest == feed.Digest()) {
    feed.differs_since = {};
    feed.confirmed_at = std::max(feed.confirmed_at, now - message.endpoints_age);
    return;
  }
  const bool peer_is_newer = now - message.endpoints_age > feed.confirmed_at;
  if (!peer_is_newer)
    return;
  if (feed.differs_since == TimePoint())
    feed.differs_since = now;
  feed.differs_from = message.sender.peer_address;
}

void RefreshDiscovery(Parts& parts, TimePoint now, Effects& effects) {
  if (!parts.options.discovery)
    return;
  const std::vector<EndpointChange> expired = parts.feed.ExpireGone(now);
  if (!expired.empty()) {
    ApplyDiscovered(parts, now);
    NoteChanges(parts, expired, "store");
    // Others were not told of entries that might still have come back.
    Broadcast(parts, expired, now, effects);
  }
  Effect::ReadEndpoints read;
  if (parts.phase == Phase::kClosing || !IsReadDue(parts, now, read))
    return;
  parts.feed.last_read = now;
  read.after = parts.feed.as_of;
  effects.push_back(std::move(read));
}

TimePoint NextDiscovery(const Parts& parts) {
  if (!parts.options.discovery)
    return TimePoint::max();
  const TimePoint read = parts.feed.last_read + kReadPeriod;
  const bool read_soon = parts.feed.as_of > 0 && parts.feed.failures == 0 && read > parts.last_tick;
  return std::min(parts.feed.NextExpiry(), read_soon ? read : TimePoint::max());
}

}  // namespace sassafras
