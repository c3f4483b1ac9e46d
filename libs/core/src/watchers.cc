#include "watchers.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "base/hash.h"
#include "core/gossip_message.h"
#include "gossip.h"
#include "parts.h"
#include "roster.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/** Instances that watch the store: of the whole fleet, or with discovery of each failure domain. */
constexpr size_t kWatchersOfFleet = 2;
constexpr size_t kWatchersPerDomain = 1;
constexpr uint64_t kWatchPurpose = 0x7761746368;
/** Pause between questions of a small fleet, and questions that one watcher is asked a second in a large one. */
constexpr milliseconds kQuestionPause{500};
constexpr double kQuestionsPerWatcher = 40.0;
/** Time for an answer, and how many have to be missing. */
constexpr milliseconds kAnswerTime{250};
constexpr uint32_t kMostMissed = 2;

/** Other members of this instance's failure domain that stay. */
std::vector<const Membership::Entry*> NearMembers(const Parts& parts, TimePoint now) {
  std::vector<const Membership::Entry*> near;
  for (const Membership::Entry& entry : parts.members.All()) {
    const bool own = entry.member.failure_domain == parts.self.failure_domain && entry.name_hash != parts.self_hash;
    if (own && !entry.member.leaving && parts.members.IsAlive(entry, now))
      near.push_back(&entry);
  }
  return near;
}

/** One of the watchers among `near`, drawn at random. */
const Membership::Entry& DrawWatcher(Parts& parts, std::vector<const Membership::Entry*> near) {
  const auto order = [](const Membership::Entry* entry) {
    return std::pair(!entry->member.store_reachable, HashCombine(kWatchPurpose, entry->name_hash));
  };
  const size_t count = std::min(near.size(), kWatchersPerDomain);
  std::partial_sort(near.begin(), near.begin() + static_cast<std::ptrdiff_t>(count), near.end(),
                    [&](const auto* a, const auto* b) { return order(a) < order(b); });
  return *near[parts.random() % count];
}

}  // namespace

bool IsWatcher(const Parts& parts, TimePoint now) {
  if (!parts.options.discovery)
    return parts.members.RankForReaching(kWatchPurpose, parts.self_hash, now) < kWatchersOfFleet;
  return KnowsFleet(parts, now) && parts.members.RankForReaching(kWatchPurpose, parts.self_hash, now,
                                                                 parts.self.failure_domain) < kWatchersPerDomain;
}

void RefreshWatchers(Parts& parts, TimePoint now, Effects& effects) {
  WatcherState& watchers = parts.watchers;
  if (now < NextWatcherCheck(parts))
    return;
  if (watchers.asked != 0) {
    watchers.asked = 0;
    ++watchers.missed;
    if (watchers.missed % kMostMissed == 0)
      effects.push_back(Effect::PollStore{});
  }
  const std::vector<const Membership::Entry*> near = NearMembers(parts, now);
  const auto pause = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(near.size()) / (kQuestionsPerWatcher * static_cast<double>(kWatchersPerDomain))));
  watchers.next_question = now + std::max<Duration>(kQuestionPause, pause);
  if (near.empty())
    return;
  const Membership::Entry& watcher = DrawWatcher(parts, near);
  watchers.asked = parts.random();
  watchers.asked_at = now;
  AskPeer(parts, watcher.member.peer_address, watchers.asked, now, effects);
}

void NoteWatcherAnswer(Parts& parts, const GossipMessage& message) {
  if (message.reply_to == 0 || message.reply_to != parts.watchers.asked)
    return;
  parts.watchers.asked = 0;
  parts.watchers.missed = 0;
}

TimePoint NextWatcherCheck(const Parts& parts) {
  if (!parts.options.discovery || parts.phase != Phase::kServing || parts.lists.watching)
    return TimePoint::max();
  const WatcherState& watchers = parts.watchers;
  return watchers.asked != 0 ? watchers.asked_at + kAnswerTime : watchers.next_question;
}

}  // namespace sassafras
