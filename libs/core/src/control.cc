#include "control.h"

#include <algorithm>
#include <chrono>

#include "base/hash.h"
#include "discovery.h"
#include "dispatch.h"
#include "endpoint_learning.h"
#include "freshness.h"
#include "gossip.h"
#include "hedge_policy.h"
#include "key_confirmation.h"
#include "lists/lists.h"
#include "lists_apply.h"
#include "load_probing.h"
#include "quota.h"
#include "roster.h"
#include "state_parts.h"
#include "warmup_limit.h"
#include "watchers.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kProbeCheckPeriod{20};
/** Period of RunMaintenance(): expiry, logs of members, polls, probe seats and the roster. */
constexpr seconds kMaintenancePeriod{1};
/** A longer time between ticks means that this process was paused. */
constexpr seconds kPauseThreshold{1};
/** Longest time that a resumed instance holds calls while it confirms its lists. */
constexpr seconds kRevalidateTimeout{1};
/** Number of instances that compete for each probe seat. */
constexpr size_t kCandidatesPerSeat = 2;
/** "seat" in ASCII. */
constexpr uint64_t kSeatRankSeed = 0x73656174;
/** Period of the reads that a watcher makes in addition to its watch. */
constexpr seconds kWatcherPollPeriod{1};
/** Polls per second of the whole fleet while no instance has a recent confirmation from the store. */
constexpr double kFleetPollsPerSecond = 8.0;
/** Minimum time between two writes of the lists back to the store. */
constexpr seconds kMinRestoreInterval{5};
constexpr seconds kSeatClaimPeriod{2};
/** Longest time that the platform's directory may lag behind. */
constexpr seconds kMaxDirectoryLag{60};
/** Time for the other instances to learn that this one is leaving. */
constexpr seconds kLeavePropagationTime{2};
/**
 * Time after the request to stop within which any call is admitted: its caller may not have learned of the stop. The
 * users' rules excuse a call that is cut if it was sent within 3 s of the stop signal, which may be handled late.
 */
constexpr milliseconds kUnawareCallerTime{2'750};
/** Time to read the requests that have arrived when a leaving instance closes its listeners. */
constexpr milliseconds kLastReadTime{250};

void UpdateWatch(StateParts& parts, TimePoint now, Effects& effects) {
  const bool watch = parts.phase != Phase::kClosing && IsWatcher(parts, now);
  if (watch == parts.lists.watching)
    return;
  parts.lists.watching = watch;
  parts.log_records.push_back({watch ? LogRecord::Kind::kWatching : LogRecord::Kind::kNotWatching,
                               parts.self.name,
                               parts.members.CountServing(now),
                               {},
                               "rank among members"});
  effects.push_back(Effect::WatchStore{watch});
}

void PollNow(StateParts& parts, bool may_lag, TimePoint now, Effects& effects) {
  parts.lists.last_poll = now;
  effects.push_back(Effect::PollStore{may_lag});
}

/** Whether calls may have to wait for a confirmation of the lists: whether there are API keys is not known yet. */
bool NeedsConfirmationAtStart(const StateParts& parts) {
  return parts.options.key_revocation_limit.count() > 0;
}

/** Polls the store if this instance is due to. */
void PollIfDue(StateParts& parts, TimePoint now, Effects& effects) {
  const ListsTracker& lists = parts.lists;
  const bool starting = parts.phase == Phase::kStarting;
  // With discovery the watch itself regularly confirms that nothing has changed.
  const bool polls = lists.watching && !parts.options.discovery && now - lists.last_poll >= kWatcherPollPeriod;
  if (starting || polls) {
    // A stale read is enough with discovery: peers with newer lists notify a starting instance of them. But it confirms
    // no API keys, and after a loss of power no peer could either.
    const bool may_lag = starting && parts.options.discovery && !NeedsConfirmationAtStart(parts);
    PollNow(parts, may_lag, now, effects);
    return;
  }
  // With discovery, see ReadStaleLists().
  if (parts.options.discovery || now - lists.store_confirmed_at < ListsTracker::kMaxConfirmationAge)
    return;
  const auto fleet = static_cast<double>(std::max<size_t>(1, parts.members.CountServing(now)));
  const double chance = kFleetPollsPerSecond * std::chrono::duration<double>(kMaintenancePeriod).count() / fleet;
  if (std::uniform_real_distribution<double>(0.0, 1.0)(parts.random) < chance)
    PollNow(parts, false, now, effects);
}

/** Renews the leases of held seats, and requests those for which this instance is a candidate. */
void ClaimSeats(StateParts& parts, TimePoint now, Effects& effects) {
  if (!parts.options.probing || parts.phase != Phase::kServing || now < parts.next_seat_claim)
    return;
  parts.next_seat_claim = now + kSeatClaimPeriod;
  for (uint32_t seat = 0; seat < ProbeSchedule::kSeatCount; ++seat) {
    const uint64_t seed = HashCombine(kSeatRankSeed, seat);
    const bool candidate = parts.members.RankFor(seed, parts.self_hash, now) < kCandidatesPerSeat;
    if (candidate || parts.probes.Holds(seat, now))
      effects.push_back(Effect::ClaimSeat{seat});
  }
}

void ReleaseSeats(StateParts& parts, TimePoint now, Effects& effects) {
  for (uint32_t seat = 0; seat < ProbeSchedule::kSeatCount; ++seat) {
    if (parts.probes.Holds(seat, now))
      effects.push_back(Effect::ReleaseSeat{seat});
    parts.probes.Release(seat);
  }
}

void SendDueProbes(StateParts& parts, TimePoint now, Effects& effects) {
  if (!parts.probes.HoldsAny(now))
    return;
  for (uint32_t index = 0; index < parts.endpoints.Size(); ++index) {
    const EndpointHandle endpoint(index);
    const EndpointState& state = parts.At(endpoint);
    const uint32_t seat = ProbeSchedule::SeatOf(state.name_hash);
    if (!state.active || state.held_off_until > now || !parts.probes.Holds(seat, now))
      continue;
    const Duration interval = ProbeSchedule::ProbeInterval(parts.At(state.service).config.probe_budget);
    if (!parts.probes.TakeIfDue(endpoint, seat, interval, now, parts.random))
      continue;
    ++parts.probes_sent;
    effects.push_back(Effect::SendProbe{endpoint, parts.probes.ValidUntil(seat)});
  }
}

/** Starts the revalidation of all state after a pause: it may be stale until the store or peers confirm it. */
void OnResumed(StateParts& parts, Duration pause, TimePoint now, Effects& effects) {
  parts.members.ExcludePause(pause);
  if (parts.phase == Phase::kStarting)
    return;
  parts.lists.revalidate_until = now + kRevalidateTimeout;
  PollNow(parts, false, now, effects);
  QueryPeersForRevalidation(parts, now, effects);
  if (parts.options.discovery)
    effects.push_back(Effect::ReadEndpoints{.after_revision = parts.feed.as_of});
}

/** Logs which members have gone silent and which are back, with one record for each of the two groups. */
void LogMemberChanges(StateParts& parts, TimePoint now) {
  for (const bool alive : {false, true}) {
    const std::vector<std::string> names = parts.members.TakeLivenessChanges(alive, now);
    const LogRecord::Kind kind = alive ? LogRecord::Kind::kMembersBack : LogRecord::Kind::kMembersSilent;
    if (!names.empty())
      parts.log_records.push_back({kind, names.front(), names.size(), {}, "heartbeats"});
  }
}

void RunMaintenance(StateParts& parts, TimePoint now, Effects& effects) {
  parts.next_maintenance = now + kMaintenancePeriod;
  parts.members.Expire(now);
  parts.members.UpdateSilentTimeout(now);
  LogMemberChanges(parts, now);
  const size_t fleet = parts.members.CountServing(now);
  if (fleet > parts.largest_fleet) {
    parts.largest_fleet = fleet;
    UpdateBudgets(parts);
  }
  UpdateWarmupFleet(parts, now);
  parts.quarantine.Expire(now);
  ExpireQuotas(parts, now);
  parts.rumors.Expire(now);
  parts.records.Expire(parts.EpochAt(now));
  parts.endpoints.ReclaimInactive(now);
  UpdateWatch(parts, now, effects);
  PollIfDue(parts, now, effects);
  UpdateKeyConfirmation(parts, now, effects);
  ClaimSeats(parts, now, effects);
  RefreshRoster(parts, now, effects);
  UpdateFreshnessRole(parts, now);
  if (parts.phase == Phase::kStarting)
    FetchListsFromPeers(parts, 1, effects);
}

/** Ends the revalidation after the store confirmed the lists, unless other instances may hold newer rumors. */
void EndRevalidationIfAlone(StateParts& parts, TimePoint now) {
  const bool alone = parts.members.CountServing(now) <= 1;
  if (alone)
    parts.lists.revalidate_until = {};
}

void CloseIfDue(StateParts& parts, TimePoint now, Effects& effects) {
  if (parts.phase != Phase::kLeaving || now < parts.close_at)
    return;
  parts.phase = Phase::kClosing;
  // Once more, for peers that the first announcement did not reach.
  AnnounceLeaving(parts, now, effects);
  effects.push_back(Effect::CloseListeners{});
}

}  // namespace

void OnListsReceived(StateParts& parts, const Event::ListsReceived& event, Effects& effects) {
  if (event.generation <= parts.lists.generation)
    return;
  parts.lists.generation = event.generation;
  parts.lists.lack_plans = event.lists->has_unreadable_plans;
  parts.lists.lack_accounts = event.lists->has_unreadable_accounts;
  ApplyLists(parts, *event.lists, event.now);
  StartServing(parts);
  for (ServiceState& service : parts.services)
    DispatchWaiting(parts, service, event.now, effects);
  parts.gossip_pending = true;
  if (parts.options.discovery)
    AnnounceLists(parts, event.now, effects);
}

void StartServing(StateParts& parts) {
  // With discovery an instance that does not know which failure domains are evacuated would send requests to them.
  const bool discovered = parts.feed.as_of > 0 && parts.evacuations.known.as_of > 0;
  const bool ready = parts.lists.generation > 0 && (!parts.options.discovery || discovered);
  if (parts.phase == Phase::kStarting && ready)
    parts.phase = Phase::kServing;
}

void OnStoreConfirmed(StateParts& parts, const Event::StoreConfirmed& event, Effects& effects) {
  ListsTracker& lists = parts.lists;
  if (event.generation <= lists.generation)
    EndRevalidationIfAlone(parts, event.now);
  if (event.generation <= lists.generation)
    lists.store_confirmed_at = std::max(lists.store_confirmed_at, event.now - event.age);
  if (event.generation <= lists.generation)
    AnnounceConfirmedLists(parts, event.now, effects);
  if (event.generation <= lists.generation && event.read_started_at != TimePoint())
    ConfirmKeys(parts, event.read_started_at, event.now);
  const bool older = event.generation < lists.generation;
  if (!older || !lists.watching || event.now - lists.last_restore < kMinRestoreInterval)
    return;
  lists.last_restore = event.now;
  effects.push_back(Effect::RestoreLists{lists.generation});
}

namespace {

/** Whether a directory status may refer to an earlier incarnation: the directory lags, and the status names none. */
bool MayBeStale(const EndpointState& state, const Event::DirectoryReceived::EndpointStatus& status, TimePoint now) {
  return status.incarnation == 0 && state.ramp_start != TimePoint() && now - state.ramp_start < kMaxDirectoryLag;
}

void ApplyEndpointStatus(StateParts& parts, const Event::DirectoryReceived::EndpointStatus& status, TimePoint now) {
  const EndpointHandle endpoint = parts.endpoints.FindByHash(Hash64(status.name));
  if (!endpoint.IsValid())
    return;
  EndpointState& state = parts.At(endpoint);
  if (status.leaving && !MayBeStale(state, status, now))
    RecordLeaving(parts, endpoint, status.incarnation, "directory", now);
  if (status.leaving)
    return;
  RecordAlive(parts, endpoint, status.incarnation, now);
  // A leaving mark without an incarnation came from the directory alone, so the directory may clear it.
  if (!state.leaving || state.leaving_incarnation != 0)
    return;
  state.leaving = false;
  state.leaving_marked = false;
}

}  // namespace

void OnDirectoryReceived(StateParts& parts, const Event::DirectoryReceived& event, Effects& /*effects*/) {
  parts.members.ApplyListing(event.members, event.whole, event.now);
  for (const auto& status : event.endpoints)
    ApplyEndpointStatus(parts, status, event.now);
}

void OnProbeEnded(StateParts& parts, const Event::ProbeEnded& event, Effects& effects) {
  // A failed health check may still say that the endpoint is leaving or wants no requests.
  LearnFromLoadReport(parts, event.endpoint, event.load, event.now);
  LearnWarmup(parts, event.endpoint, event.load, event.now);
  OnLoadProbeEnded(parts, event, effects);
}

void OnSeatGranted(StateParts& parts, const Event::SeatGranted& event, Effects& effects) {
  if (parts.phase != Phase::kServing) {
    effects.push_back(Effect::ReleaseSeat{event.seat});
    return;
  }
  parts.probes.Grant(event.seat, event.valid_until, event.now);
}

void OnSeatRefused(StateParts& parts, const Event::SeatRefused& event, Effects& /*effects*/) {
  parts.probes.Release(event.seat);
}

void HandlePause(StateParts& parts, TimePoint now, Effects& effects) {
  const bool paused = parts.last_tick != TimePoint() && now - parts.last_tick > kPauseThreshold;
  if (!paused)
    return;
  const Duration pause = now - parts.last_tick;
  parts.last_tick = now;
  OnResumed(parts, pause, now, effects);
}

void OnTick(StateParts& parts, const Event::Tick& event, Effects& effects) {
  const TimePoint now = event.now;
  parts.last_tick = now;
  for (ServiceState& service : parts.services) {
    RejectExpiredWaiting(parts, service, now, effects);
    DispatchWaiting(parts, service, now, effects);
  }
  if (parts.gossip_pending || now >= parts.next_gossip) {
    parts.gossip_pending = false;
    parts.next_gossip = now + parts.options.gossip_period;
    SendGossipRound(parts, now, effects);
  }
  if (now >= parts.next_probe_check) {
    parts.next_probe_check = now + kProbeCheckPeriod;
    SendDueProbes(parts, now, effects);
  }
  UpdateQuotas(parts, now, effects);
  UpdateDiscovery(parts, now, effects);
  CheckWatchers(parts, now, effects);
  ReadStaleLists(parts, now, effects);
  if (now >= parts.next_maintenance)
    RunMaintenance(parts, now, effects);
  CloseIfDue(parts, now, effects);
}

TimePoint NextTickTime(const StateParts& parts, TimePoint now) {
  if (parts.gossip_pending || CountWaiting(parts) > 0)
    return now + kBusyTickPeriod;
  TimePoint next = std::min({parts.next_gossip, parts.next_maintenance, NextDiscoveryTime(parts),
                             NextWatcherCheckTime(parts), NextQuotaTime(parts)});
  const TimePoint lists_read = ListsReadTime(parts);
  if (parts.options.discovery && lists_read > parts.last_tick)
    next = std::min(next, lists_read);
  if (parts.probes.HoldsAny(now))
    next = std::min(next, parts.next_probe_check);
  if (parts.phase == Phase::kLeaving)
    next = std::min(next, parts.close_at);
  return std::max(next, now);
}

void OnSettingsChanged(StateParts& parts, const Event::SettingsChanged& event) {
  StateOptions& options = parts.options;
  const bool budgets_change = event.retry_ratio != options.retry_ratio || event.retry_slack != options.retry_slack;
  options.retry_ratio = event.retry_ratio;
  options.retry_slack = event.retry_slack;
  options.address_ttl = event.address_ttl;
  options.linger_limit = event.linger_limit;
  options.hedge_limit = event.hedge_limit;
  options.endpoint_leave_limit = event.endpoint_leave_limit;
  options.lists_apply_limit = event.lists_apply_limit;
  if (budgets_change)
    ResetBudgets(parts);
  UpdateHedgeAllowances(parts);
}

void OnStopRequested(StateParts& parts, const Event::StopRequested& event, Effects& effects) {
  if (parts.phase == Phase::kLeaving || parts.phase == Phase::kClosing)
    return;
  const bool served = parts.phase == Phase::kServing;
  parts.phase = Phase::kLeaving;
  parts.self.leaving = true;
  // Callers may still use addresses that a peer returned before it learned of the stop.
  const Duration linger =
      std::min<Duration>(kLeavePropagationTime + parts.options.address_ttl, parts.options.linger_limit);
  parts.close_at = served ? event.now + linger : event.now;
  parts.admit_until = event.now + parts.options.linger_limit + kLastReadTime;
  parts.admit_short_calls_from = event.now + kUnawareCallerTime;
  parts.ends_at = event.ends_at;
  ReleaseSeats(parts, event.now, effects);
  AnnounceLeaving(parts, event.now, effects);
  SendGossipRound(parts, event.now, effects);
}

}  // namespace sassafras
