#include "watchers.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "core/gossip_message.h"
#include "freshness.h"
#include "gossip.h"
#include "key_confirmation.h"
#include "roster.h"
#include "state_parts.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/** Number of watchers: per fleet, or with discovery per failure domain. */
constexpr size_t kWatchersPerFleet = 2;
constexpr size_t kWatchersPerDomain = 1;
/** "watch" in ASCII. */
constexpr uint64_t kWatcherRankSeed = 0x7761746368;
/** Shortest time between queries, in a small fleet. */
constexpr milliseconds kMinQueryPeriod{500};
/** Queries per second that one watcher gets in a large fleet, whose instances query less often. */
constexpr double kQueriesPerWatcherPerSecond = 40.0;
/** Longest time to wait for a reply. */
constexpr milliseconds kReplyTimeout{250};

/** Other members of this instance's failure domain that are alive and not leaving. */
std::vector<const Membership::Entry*> SameDomainMembers(const StateParts& parts, TimePoint now) {
  std::vector<const Membership::Entry*> candidates;
  for (const Membership::Entry& entry : parts.members.All()) {
    const bool own = entry.member.failure_domain == parts.self.failure_domain && entry.name_hash != parts.self_hash;
    if (own && !entry.member.leaving && parts.members.IsAlive(entry, now))
      candidates.push_back(&entry);
  }
  return candidates;
}

/** The members of a failure domain watch in the order of this; members that reach the store come first. */
std::pair<bool, uint64_t> WatcherOrder(const Membership::Entry& entry) {
  return {!entry.member.store_reachable, HashCombine(kWatcherRankSeed, entry.name_hash)};
}

/** Chooses one of the watchers among `candidates` at random. */
const Membership::Entry& RandomWatcher(StateParts& parts, std::vector<const Membership::Entry*> candidates) {
  const size_t count = std::min(candidates.size(), kWatchersPerDomain);
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(),
                    [](const auto* a, const auto* b) { return WatcherOrder(*a) < WatcherOrder(*b); });
  return *candidates[parts.random() % count];
}

}  // namespace

bool IsWatcher(const StateParts& parts, TimePoint now) {
  if (!parts.options.discovery)
    return parts.members.RankPreferringReachable(kWatcherRankSeed, parts.self_hash, now) < kWatchersPerFleet;
  return KnowsFleet(parts, now) &&
         parts.members.RankPreferringReachable(kWatcherRankSeed, parts.self_hash, now, parts.self.failure_domain) <
             kWatchersPerDomain;
}

bool IsFirstWatcher(const StateParts& parts, TimePoint now) {
  return parts.options.discovery && KnowsFleet(parts, now) &&
         parts.members.RankPreferringReachable(kWatcherRankSeed, parts.self_hash, now) == 0;
}

void AnnounceStateToWatchers(StateParts& parts, TimePoint now, Effects& effects) {
  // The first member of each failure domain in the order of watchers.
  std::map<std::string_view, const Membership::Entry*> watchers;
  for (const Membership::Entry& entry : parts.members.All()) {
    const bool other_domain = entry.member.failure_domain != parts.self.failure_domain;
    if (!other_domain || entry.member.leaving || !parts.members.IsAlive(entry, now))
      continue;
    const Membership::Entry*& watcher = watchers[entry.member.failure_domain];
    if (watcher == nullptr || WatcherOrder(entry) < WatcherOrder(*watcher))
      watcher = &entry;
  }
  for (const auto& [domain, watcher] : watchers)
    AnnounceStateTo(parts, watcher->member.peer_address, now, effects);
}

void CheckWatchers(StateParts& parts, TimePoint now, Effects& effects) {
  WatcherState& watchers = parts.watchers;
  if (now < NextWatcherCheckTime(parts))
    return;
  if (std::exchange(watchers.pending_query, 0) != 0)
    ++watchers.missed_replies;
  const std::vector<const Membership::Entry*> candidates = SameDomainMembers(parts, now);
  auto pause = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(candidates.size()) /
                                    (kQueriesPerWatcherPerSecond * static_cast<double>(kWatchersPerDomain))));
  pause = std::max<Duration>(pause, kMinQueryPeriod);
  pause = std::min<Duration>({pause, ListsFreshness(parts).query_period, EndpointsFreshness(parts).query_period});
  watchers.next_query_at = now + pause;
  if (candidates.empty())
    return;
  const Membership::Entry& watcher = RandomWatcher(parts, candidates);
  watchers.pending_query = parts.random();
  watchers.query_sent_at = now;
  watchers.query_sent_boot_time = BootTime(parts, now);
  QueryPeer(parts, watcher.member.peer_address, watchers.pending_query, now, effects);
}

void OnWatcherReply(StateParts& parts, const GossipMessage& message, TimePoint now) {
  WatcherState& watchers = parts.watchers;
  if (message.reply_to == 0 || message.reply_to != watchers.pending_query)
    return;
  watchers.pending_query = 0;
  watchers.missed_replies = 0;
  watchers.last_reply_at = now;
  ConfirmKeysFromReply(parts, message, watchers.query_sent_boot_time, now);
}

TimePoint NextWatcherCheckTime(const StateParts& parts) {
  if (!parts.options.discovery || parts.phase != Phase::kServing || parts.lists.watching)
    return TimePoint::max();
  const WatcherState& watchers = parts.watchers;
  return watchers.pending_query != 0 ? watchers.query_sent_at + kReplyTimeout : watchers.next_query_at;
}

}  // namespace sassafras
