#include "freshness.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include "gossip.h"
#include "roster.h"
#include "state_parts.h"
#include "watchers.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/** Bounds of the time to apply changes that is used: shorter ones cannot be kept, longer ones save little. */
constexpr milliseconds kMinApplyLimit{1'000};
constexpr milliseconds kMaxApplyLimit{4'000};
/** Parts of the time to apply a change. What is left after the last read is for the read itself and its effects. */
constexpr double kWatchWaitPart = 0.35;
constexpr double kQueryPeriodPart = 0.25;
constexpr double kFirstReadPart = 0.65;
constexpr double kLastReadPart = 0.8;
static_assert(kWatchWaitPart + kQueryPeriodPart < kFirstReadPart, "reads that no failure calls for");
static_assert(kFirstReadPart < kLastReadPart && kLastReadPart < 1, "a change would be in force too late");
/** Longest time for which a watcher that is not the confirmer lets the store wait for a change. */
constexpr milliseconds kIdleWatchWait{4'400};
/** Minimum time between two reads of the lists by one instance. */
constexpr milliseconds kMinListsReadInterval{900};
/** Part of the time to apply a change after which a failed read is repeated: a random one between these. */
constexpr double kMinRetryPart = 0.5;
constexpr double kMaxRetryPart = 1.0;
/** "fresh" in ASCII. */
constexpr uint64_t kReadOrderSeed = 0x6672657368;

milliseconds PartOf(milliseconds time, double part) {
  return std::chrono::duration_cast<milliseconds>(time * part);
}

milliseconds UsableLimit(milliseconds apply_limit) {
  return std::clamp(apply_limit, kMinApplyLimit, kMaxApplyLimit);
}

/** Age of what this instance knows at which it reads. */
Duration ReadAge(const StateParts& parts, const FreshnessLimits& limits) {
  return limits.first_read + PartOf(limits.last_read - limits.first_read, parts.freshness.read_order);
}

/** Logs the first of the reads that follow a confirmation; `logged_for` is the confirmation of the last one logged. */
void LogStaleRead(StateParts& parts,
                  const char* subject,
                  TimePoint confirmed_at,
                  TimePoint& logged_for,
                  TimePoint now) {
  if (std::exchange(logged_for, confirmed_at) == confirmed_at)
    return;
  const auto age_ms = std::chrono::duration_cast<milliseconds>(now - confirmed_at);
  parts.log_records.push_back(
      {LogRecord::Kind::kStaleRead, subject, static_cast<uint64_t>(age_ms.count()), {}, "nobody confirmed it"});
}

void AnnounceConfirmation(StateParts& parts, bool to_all, TimePoint now, Effects& effects) {
  if (to_all)
    AnnounceState(parts, now, effects);
  else if (parts.freshness.is_confirmer)
    AnnounceStateToWatchers(parts, now, effects);
}

}  // namespace

FreshnessLimits FreshnessLimitsFor(milliseconds apply_limit) {
  const milliseconds limit = UsableLimit(apply_limit);
  return {PartOf(limit, kWatchWaitPart), PartOf(limit, kQueryPeriodPart), PartOf(limit, kFirstReadPart),
          PartOf(limit, kLastReadPart)};
}

FreshnessLimits ListsFreshness(const StateParts& parts) {
  return FreshnessLimitsFor(parts.options.lists_apply_limit);
}

FreshnessLimits EndpointsFreshness(const StateParts& parts) {
  return FreshnessLimitsFor(parts.options.endpoint_leave_limit);
}

milliseconds WatchWait(const StateParts& parts, const FreshnessLimits& limits) {
  return parts.freshness.is_confirmer ? limits.watch_wait : kIdleWatchWait;
}

void UpdateFreshnessRole(StateParts& parts, TimePoint now) {
  FreshnessState& freshness = parts.freshness;
  freshness.is_confirmer = IsFirstWatcher(parts, now);
  if (freshness.reads_from == TimePoint::max() && KnowsFleet(parts, now))
    freshness.reads_from = now + std::max(ListsFreshness(parts).last_read, EndpointsFreshness(parts).last_read);
  const auto fleet = static_cast<double>(parts.members.CountServing(now));
  const auto rank = static_cast<double>(parts.members.RankFor(kReadOrderSeed, parts.self_hash, now));
  // Few instances come early and many late, so that the first ones' confirmation reaches the others before they read.
  freshness.read_order = std::min(1.0, std::log1p(rank) / std::log1p(std::max(1.0, fleet)));
}

TimePoint ListsReadTime(const StateParts& parts) {
  const ListsTracker& lists = parts.lists;
  const TimePoint stale_at = lists.store_confirmed_at + ReadAge(parts, ListsFreshness(parts));
  const FreshnessState& freshness = parts.freshness;
  return std::max({stale_at, lists.last_poll + kMinListsReadInterval, freshness.retry_at, freshness.reads_from});
}

TimePoint EndpointsReadTime(const StateParts& parts) {
  const TimePoint stale_at = parts.feed.confirmed_at + ReadAge(parts, EndpointsFreshness(parts));
  return std::max({stale_at, parts.freshness.retry_at, parts.freshness.reads_from});
}

void ReadStaleLists(StateParts& parts, TimePoint now, Effects& effects) {
  const bool serves = parts.phase == Phase::kServing || parts.phase == Phase::kLeaving;
  if (!parts.options.discovery || !serves)
    return;
  if (now < ListsReadTime(parts))
    return;
  LogStaleRead(parts, "lists", parts.lists.store_confirmed_at, parts.freshness.logged_lists, now);
  parts.freshness.confirming_lists = true;
  parts.lists.last_poll = now;
  effects.push_back(Effect::PollStore{});
}

void OnStaleEndpointsRead(StateParts& parts, TimePoint now) {
  LogStaleRead(parts, "endpoints", parts.feed.confirmed_at, parts.freshness.logged_endpoints, now);
  parts.freshness.confirming_endpoints = true;
}

void OnStoreCallEnded(StateParts& parts, bool ok, TimePoint now) {
  FreshnessState& freshness = parts.freshness;
  if (ok) {
    freshness.retry_at = {};
    return;
  }
  freshness.confirming_lists = false;
  freshness.confirming_endpoints = false;
  const double part = std::uniform_real_distribution<double>(kMinRetryPart, kMaxRetryPart)(parts.random);
  const milliseconds limit = std::min(parts.options.lists_apply_limit, parts.options.endpoint_leave_limit);
  freshness.retry_at = now + PartOf(UsableLimit(limit), part);
}

void AnnounceConfirmedLists(StateParts& parts, TimePoint now, Effects& effects) {
  AnnounceConfirmation(parts, std::exchange(parts.freshness.confirming_lists, false), now, effects);
}

void AnnounceConfirmedEndpoints(StateParts& parts, TimePoint now, Effects& effects) {
  AnnounceConfirmation(parts, std::exchange(parts.freshness.confirming_endpoints, false), now, effects);
}

}  // namespace sassafras
