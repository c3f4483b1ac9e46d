#include "discovery.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <utility>

#include "base/backoff.h"
#include "control.h"
#include "core/gossip_message.h"
#include "freshness.h"
#include "gossip.h"
#include "lists_apply.h"
#include "roster.h"
#include "state_parts.h"
#include "watchers.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/** Time for entries that expired while the store was unavailable to be registered again. */
constexpr milliseconds kReregistrationGrace{2'000};
/** Reads that may lag show a restore after this time at the latest. */
constexpr milliseconds kMaxReadLag{5'000};
/** Time between reads of the endpoints, unless changes or failures require another. */
constexpr milliseconds kEndpointReadPeriod{900};
/** Shortest time that a watcher's read waits for a change. */
constexpr milliseconds kMinChangeWait{100};
/** Age of the last read after which the next one is of all endpoints: the store keeps the latest changes only. */
constexpr milliseconds kMaxChangesAge{10'000};
/** Minimum time from the receipt of endpoints to the next read: after a change, and after heartbeats alone. */
constexpr milliseconds kReadPauseAfterChange{150};
constexpr milliseconds kReadPauseAfterHeartbeats{300};
/** Time for which a peer's endpoints may differ before this instance reads all of them from that peer or the store. */
constexpr milliseconds kMaxMismatchTime{1'000};
/** Delay between the attempts of a starting instance to read the endpoints. */
constexpr milliseconds kFirstReadRetryDelay{200};
/** Longest time that a starting instance waits for a peer before it reads the store. */
constexpr milliseconds kFirstReadPeerTimeout{60};
/** Endpoint changes in one datagram. */
constexpr size_t kMaxChangesPerMessage = 6;
/** Bytes of their texts in one datagram, unless a single change has more. */
constexpr size_t kMaxChangeTextBytesPerMessage = 600;

/** How long an endpoint that the store no longer lists stays in use. */
Duration RemovalDelay(const StateParts& parts, TimePoint now) {
  const EndpointFeed& feed = parts.feed;
  const bool recently_back =
      feed.store_recovered_at != TimePoint() && now - feed.store_recovered_at < kReregistrationGrace;
  return recently_back ? feed.store_recovered_at + kReregistrationGrace - now : Duration::zero();
}

/** Logs changes to endpoints. */
void LogEndpointChanges(StateParts& parts, const std::vector<EndpointChange>& new_changes, const char* source) {
  constexpr std::array<LogRecord::Kind, 3> kKinds = {LogRecord::Kind::kEndpointServing,
                                                     LogRecord::Kind::kEndpointLeaving, LogRecord::Kind::kEndpointGone};
  for (const EndpointChange& change : new_changes) {
    LogRecord record;
    record.kind = kKinds[static_cast<size_t>(change.kind)];
    record.subject = change.row.name;
    record.version = change.revision;
    record.source = source;
    parts.log_records.push_back(std::move(record));
  }
}

size_t TextBytes(const Endpoint& row) {
  return row.name.size() + row.service.size() + row.address.size() + row.failure_domain.size();
}

/** Sends changes to every peer at once: changes are rare, and requests fail while peers do not know of one. */
void BroadcastChanges(StateParts& parts,
                      const std::vector<EndpointChange>& new_changes,
                      TimePoint now,
                      Effects& effects) {
  std::vector<EndpointChange> batch;
  size_t batch_bytes = 0;
  for (const EndpointChange& change : new_changes) {
    const size_t bytes = TextBytes(change.row);
    const bool full = batch.size() == kMaxChangesPerMessage || batch_bytes + bytes > kMaxChangeTextBytesPerMessage;
    if (full && !batch.empty()) {
      AnnounceEndpointChanges(parts, std::exchange(batch, {}), now, effects);
      batch_bytes = 0;
    }
    batch.push_back(change);
    batch_bytes += bytes;
  }
  if (!batch.empty())
    AnnounceEndpointChanges(parts, std::move(batch), now, effects);
}

/** How long a watcher's read waits for a change: with the pause before the next read, as long as a watch may wait. */
milliseconds ChangeWait(const StateParts& parts) {
  return std::max(kMinChangeWait, WatchWait(parts, EndpointsFreshness(parts)) - kReadPauseAfterHeartbeats);
}

/** Whether this instance should read the store now; if so, sets the parameters of the read in `read`. */
bool IsReadDue(StateParts& parts, TimePoint now, Effect::ReadEndpoints& read) {
  EndpointFeed& feed = parts.feed;
  bool& whole = read.whole;
  whole = feed.as_of == 0;
  const Duration since = now - feed.last_read_at;
  if (feed.read_failures > 0 && since < StoreRetryDelay(feed.read_failures))
    return false;
  if (whole) {
    // A stale read is enough: gossip brings it up to date before calls depend on it.
    read.may_lag = true;
    read.peer_address = SameDomainPeerAddress(parts, now);
    read.peer_first = parts.members.CountServing(now) > 1;
    read.peer_timeout = kFirstReadPeerTimeout;
    return since >= kFirstReadRetryDelay;
  }
  if (feed.peer_differs_since != TimePoint() && now - feed.peer_differs_since >= kMaxMismatchTime) {
    feed.peer_differs_since = now;
    whole = true;
    read.peer_address = feed.differing_peer;
    read.peer_first = true;
    return true;
  }
  if (since < kEndpointReadPeriod)
    return false;
  if (IsWatcher(parts, now)) {
    // Until now the listing may have held endpoints that ended before the store was restored.
    whole = now >= feed.rereads_at;
    if (whole)
      return true;
    read.wait = ChangeWait(parts);
    return true;
  }
  if (now < EndpointsReadTime(parts))
    return false;
  OnStaleEndpointsRead(parts, now);
  // The store no longer has the changes since a read long ago, and changes do not show what a listing would correct.
  const bool differs = feed.peer_differs_since != TimePoint();
  whole = since > kMaxChangesAge || differs || now >= feed.rereads_at;
  return true;
}

/** Notes a revision that the store or a peer reports; after a restore, what this instance wrote may be lost too. */
void NoteRevision(StateParts& parts, uint64_t revision, TimePoint now) {
  if (!parts.feed.NoteRevision(revision, now))
    return;
  parts.lists.unsettled_until = now + kReregistrationGrace;
  parts.roster.rereads_at = now + kMaxReadLag;
}

}  // namespace

void OnEndpointsReceived(StateParts& parts, const Event::EndpointsReceived& event, Effects& effects) {
  EndpointFeed& feed = parts.feed;
  NoteRevision(parts, event.as_of, event.now);
  for (const EndpointChange& change : event.changes)
    NoteRevision(parts, change.revision, event.now);
  // An older read is ignored: all changes up to as_of have been applied, and it could remove endpoints that were listed
  // again since.
  if (feed.IsLater(feed.as_of, event.as_of))
    return;
  std::vector<EndpointChange> new_changes;
  const Duration removal_delay = RemovalDelay(parts, event.now);
  const auto source = event.whole ? EndpointFeed::Source::kListing : EndpointFeed::Source::kWrite;
  for (const EndpointChange& change : event.changes) {
    if (feed.Apply(change, source, removal_delay, event.now))
      new_changes.push_back(change);
  }
  if (event.whole)
    feed.RemoveUnlisted(event.changes, event.as_of, removal_delay, event.now, new_changes);
  const bool first = feed.as_of == 0;
  feed.as_of = event.as_of;
  if (!event.may_lag)
    feed.confirmed_at = std::max(feed.confirmed_at, event.now - event.age);
  // Backdated, so that the next read is due after the pause: the next change may come at any time. Changes come in
  // series, while heartbeats would end every read at once.
  const milliseconds pause = new_changes.empty() ? kReadPauseAfterHeartbeats : kReadPauseAfterChange;
  feed.last_read_at = event.now - kEndpointReadPeriod + pause;
  if (event.whole)
    feed.peer_differs_since = {};
  const bool complete = event.whole && !event.from_peer && !event.may_lag;
  if (complete && event.now >= feed.rereads_at)
    feed.rereads_at = TimePoint::max();
  if (first)
    StartServing(parts);
  if (!new_changes.empty())
    ApplyDiscoveredEndpoints(parts, event.now);
  // The endpoints of the first read are not logged one by one.
  if (!first)
    LogEndpointChanges(parts, new_changes, event.from_peer ? "peer" : "store");
  if (!first && !event.from_peer)
    BroadcastChanges(parts, new_changes, event.now, effects);
  if (!event.from_peer && !event.may_lag)
    AnnounceConfirmedEndpoints(parts, event.now, effects);
}

void OnStoreReadEnded(StateParts& parts, const Event::StoreReadEnded& event, Effects& effects) {
  EndpointFeed& feed = parts.feed;
  OnStoreCallEnded(parts, event.ok, event.now);
  const bool changed = parts.self.store_reachable != event.ok;
  if (changed) {
    const bool has_role = parts.lists.watching || IsWatcher(parts, event.now);
    parts.self.store_reachable = event.ok;
    parts.members.UpdateStoreReachable(parts.self.name, event.ok, parts.self.heartbeat);
    parts.next_maintenance = event.now;
    // Announced at once only if this instance watches the store for others; otherwise gossip rounds spread it.
    if (has_role)
      AnnounceState(parts, event.now, effects);
  }
  if (!event.ok) {
    ++feed.read_failures;
    feed.store_failing = true;
    return;
  }
  if (feed.store_failing)
    feed.store_recovered_at = event.now;
  feed.store_failing = false;
  feed.read_failures = 0;
}

void ApplyEndpointsFromPeer(StateParts& parts, const GossipMessage& message, TimePoint now, Effects& effects) {
  if (!parts.options.discovery)
    return;
  EndpointFeed& feed = parts.feed;
  std::vector<EndpointChange> new_changes;
  NoteRevision(parts, message.endpoints_as_of, now);
  for (const EndpointChange& change : message.endpoint_changes) {
    NoteRevision(parts, change.revision, now);
    // A paused instance may send changes from before the latest read when it resumes; they could restore removed
    // endpoints.
    const bool old = !feed.IsLater(change.revision, feed.as_of);
    if (!old && feed.Apply(change, EndpointFeed::Source::kWrite, RemovalDelay(parts, now), now))
      new_changes.push_back(change);
  }
  if (!new_changes.empty())
    ApplyDiscoveredEndpoints(parts, now);
  LogEndpointChanges(parts, new_changes, "peer");
  if (!new_changes.empty() && message.relay)
    RelayEndpointChanges(parts, std::move(new_changes), now, effects);
  if (message.endpoints_as_of == 0)
    return;
  const TimePoint peer_confirmed_at = now - message.endpoints_age;
  if (message.endpoints_digest == feed.Digest()) {
    // A peer that has missed the same change does not refute the one that has it.
    const bool caught_up = feed.Digest() == feed.differing_digest;
    if (caught_up || peer_confirmed_at >= feed.differing_confirmed_at)
      feed.peer_differs_since = {};
    feed.confirmed_at = std::max(feed.confirmed_at, peer_confirmed_at);
    return;
  }
  const bool peer_is_newer = peer_confirmed_at > feed.confirmed_at;
  if (!peer_is_newer)
    return;
  if (feed.peer_differs_since == TimePoint())
    feed.peer_differs_since = now;
  feed.differing_peer = message.sender.peer_address;
  feed.differing_digest = message.endpoints_digest;
  feed.differing_confirmed_at = peer_confirmed_at;
}

void UpdateDiscovery(StateParts& parts, TimePoint now, Effects& effects) {
  if (!parts.options.discovery)
    return;
  const std::vector<EndpointChange> expired = parts.feed.ExpireGone(now);
  if (!expired.empty()) {
    ApplyDiscoveredEndpoints(parts, now);
    LogEndpointChanges(parts, expired, "store");
    // The changes have not been sent to peers yet, because the entries might have been registered again.
    BroadcastChanges(parts, expired, now, effects);
  }
  Effect::ReadEndpoints read;
  if (parts.phase == Phase::kClosing || !IsReadDue(parts, now, read))
    return;
  parts.feed.last_read_at = now;
  read.after_revision = parts.feed.as_of;
  effects.push_back(std::move(read));
}

TimePoint NextDiscoveryTime(const StateParts& parts) {
  if (!parts.options.discovery)
    return TimePoint::max();
  TimePoint next = parts.feed.NextExpiry();
  for (const TimePoint read : {parts.feed.last_read_at + kEndpointReadPeriod, EndpointsReadTime(parts)}) {
    const bool soon = parts.feed.as_of > 0 && parts.feed.read_failures == 0 && read > parts.last_tick;
    next = soon ? std::min(next, read) : next;
  }
  return next;
}

}  // namespace sassafras
