#include "watchers.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "base/hash.h"
#include "core/gossip_message.h"
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
/** Time between queries of an instance in a small fleet. */
constexpr milliseconds kMinQueryPeriod{500};
/** Queries per second that one watcher gets in a large fleet, whose instances query less often. */
constexpr double kQueriesPerWatcherPerSecond = 40.0;
/** Longest time between queries while API keys are honored only with a recent confirmation. */
constexpr milliseconds kMaxQueryPeriodForKeys{1'200};
/** Longest time to wait for a reply. */
constexpr milliseconds kReplyTimeout{250};
/** Consecutive missed replies after which an instance polls the store. */
constexpr uint32_t kMissedRepliesBeforePoll = 2;

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

/** Chooses one of the watchers among `candidates` at random. */
const Membership::Entry& RandomWatcher(StateParts& parts, std::vector<const Membership::Entry*> candidates) {
  const auto order = [](const Membership::Entry* entry) {
    return std::pair(!entry->member.store_reachable, HashCombine(kWatcherRankSeed, entry->name_hash));
  };
  const size_t count = std::min(candidates.size(), kWatchersPerDomain);
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(),
                    [&](const auto* a, const auto* b) { return order(a) < order(b); });
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

void CheckWatchers(StateParts& parts, TimePoint now, Effects& effects) {
  WatcherState& watchers = parts.watchers;
  if (now < NextWatcherCheckTime(parts))
    return;
  if (watchers.pending_query != 0) {
    watchers.pending_query = 0;
    ++watchers.missed_replies;
    if (watchers.missed_replies % kMissedRepliesBeforePoll == 0)
      effects.push_back(Effect::PollStore{});
  }
  const std::vector<const Membership::Entry*> candidates = SameDomainMembers(parts, now);
  auto pause = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(candidates.size()) /
                                    (kQueriesPerWatcherPerSecond * static_cast<double>(kWatchersPerDomain))));
  if (NeedsKeyConfirmation(parts))
    pause = std::min<Duration>(pause, kMaxQueryPeriodForKeys);
  watchers.next_query_at = now + std::max<Duration>(kMinQueryPeriod, pause);
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
