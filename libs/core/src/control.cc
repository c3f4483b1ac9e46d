#include "control.h"

#include <algorithm>
#include <chrono>

#include "asking.h"
#include "base/hash.h"
#include "discovery.h"
#include "dispatch.h"
#include "endpoint_news.h"
#include "gossip.h"
#include "lists/lists.h"
#include "lists_apply.h"
#include "parts.h"
#include "roster.h"
#include "watchers.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kProbeCheckPeriod{20};
constexpr seconds kRolePeriod{1};
/** Silence between ticks from which this process counts as having been paused. */
constexpr seconds kPauseLimit{1};
/** How long a resumed instance holds calls back to confirm its lists. */
constexpr seconds kRevalidateLimit{1};
/** Instances that try for each probe seat. */
constexpr size_t kSeatCandidates = 2;
constexpr uint64_t kSeatPurpose = 0x73656174;
/** How often a watcher also reads the store, and how old proof may get before others read it. */
constexpr seconds kWatcherPollPeriod{1};
constexpr seconds kStoreStale{6};
/** Reads a second that all instances together make of a store nobody has news of. */
constexpr double kFleetPollRate = 8.0;
/** The same where each read is paid for. */
constexpr double kDiscoveryPollRate = 2.0;
constexpr seconds kRestorePeriod{5};
constexpr seconds kSeatClaimPeriod{2};
/** How far the platform's list may lag behind. */
constexpr seconds kListLag{60};
/** Time for word of a leaving instance to reach the others. */
constexpr seconds kLeaveSpread{2};

void RefreshWatch(Parts& parts, TimePoint now, Effects& effects) {
  const bool watch = parts.phase != Phase::kClosing && IsWatcher(parts, now);
  if (watch == parts.lists.watching)
    return;
  parts.lists.watching = watch;
  parts.notes.push_back({watch ? Note::Kind::kWatching : Note::Kind::kNotWatching,
                         parts.self.name,
                         parts.members.CountServing(now),
                         {},
                         "rank among members"});
  effects.push_back(Effect::WatchStore{watch});
}

void Poll(Parts& parts, bool may_lag, TimePoint now, Effects& effects) {
  parts.lists.last_poll = now;
  effects.push_back(Effect::PollStore{may_lag});
}

/** Reads the store if it is this instance's turn. */
void RefreshPoll(Parts& parts, TimePoint now, Effects& effects) {
  const ListsTracker& lists = parts.lists;
  const bool starting = parts.phase == Phase::kStarting;
  // With discovery the watch itself proves from time to time that nothing has changed.
  const bool polls = lists.watching && !parts.options.discovery && now - lists.last_poll >= kWatcherPollPeriod;
  if (starting || polls) {
    // With discovery those that watch the store tell a starting instance of what its reading lacks.
    Poll(parts, starting && parts.options.discovery, now, effects);
    return;
  }
  if (now - lists.store_confirmed_at < kStoreStale || !KnowsFleet(parts, now))
    return;
  const auto fleet = static_cast<double>(std::max<size_t>(1, parts.members.CountServing(now)));
  const double rate = parts.options.discovery ? kDiscoveryPollRate : kFleetPollRate;
  const double chance = rate * std::chrono::duration<double>(kRolePeriod).count() / fleet;
  if (std::uniform_real_distribution<double>(0.0, 1.0)(parts.random) < chance)
    Poll(parts, false, now, effects);
}

/** Renews the seats held, and tries for those for which this instance comes first. */
void RefreshSeats(Parts& parts, TimePoint now, Effects& effects) {
  if (!parts.options.probing || parts.phase != Phase::kServing || now < parts.next_seat_claim)
    return;
  parts.next_seat_claim = now + kSeatClaimPeriod;
  for (uint32_t seat = 0; seat < ProbeSchedule::kSeats; ++seat) {
    const uint64_t purpose = HashCombine(kSeatPurpose, seat);
    const bool candidate = parts.members.RankFor(purpose, parts.self_hash, now) < kSeatCandidates;
    if (candidate || parts.probes.Holds(seat, now))
      effects.push_back(Effect::ClaimSeat{seat});
  }
}

void ReleaseSeats(Parts& parts, TimePoint now, Effects& effects) {
  for (uint32_t seat = 0; seat < ProbeSchedule::kSeats; ++seat) {
    if (parts.probes.Holds(seat, now))
      effects.push_back(Effect::ReleaseSeat{seat});
    parts.probes.Release(seat);
  }
}

void SendDueProbes(Parts& parts, TimePoint now, Effects& effects) {
  if (!parts.probes.HoldsAny(now))
    return;
  for (uint32_t index = 0; index < parts.endpoints.Size(); ++index) {
    const EndpointHandle endpoint(index);
    const EndpointState& state = parts.At(endpoint);
    const uint32_t seat = ProbeSchedule::SeatOf(state.name_hash);
    if (!state.active || !parts.probes.Holds(seat, now))
      continue;
    const Duration interval = ProbeSchedule::IntervalFor(parts.At(state.service).config.probe_budget);
    if (!parts.probes.TakeDue(endpoint, seat, interval, now, parts.random))
      continue;
    ++parts.probes_sent;
    effects.push_back(Effect::SendProbe{endpoint, parts.probes.ValidUntil(seat)});
  }
}

/** After a pause nothing that this instance believes can be trusted until others confirm it. */
void OnResumed(Parts& parts, Duration pause, TimePoint now, Effects& effects) {
  parts.members.AddPause(pause);
  if (parts.phase == Phase::kStarting)
    return;
  parts.lists.revalidate_until = now + kRevalidateLimit;
  Poll(parts, false, now, effects);
  AskPeers(parts, now, effects);
  if (parts.options.discovery)
    effects.push_back(Effect::ReadEndpoints{.after = parts.feed.as_of});
}

/** Notes for the log which members have fallen silent and which are back, one line for all of a kind. */
void NoteMembers(Parts& parts, TimePoint now) {
  for (const bool alive : {false, true}) {
    const std::vector<std::string> names = parts.members.TakeChanged(alive, now);
    const Note::Kind kind = alive ? Note::Kind::kMembersBack : Note::Kind::kMembersSilent;
    if (!names.empty())
      parts.notes.push_back({kind, names.front(), names.size(), {}, "heartbeats"});
  }
}

void RefreshRoles(Parts& parts, TimePoint now, Effects& effects) {
  parts.next_role_check = now + kRolePeriod;
  parts.members.Expire(now);
  parts.members.LearnHeartbeatAge(now);
  NoteMembers(parts, now);
  const size_t fleet = parts.members.CountServing(now);
  if (fleet > parts.largest_fleet) {
    parts.largest_fleet = fleet;
    SetBudgets(parts);
  }
  parts.quarantine.Expire(now);
  parts.rumors.Expire(now);
  parts.records.Expire(parts.EpochAt(now));
  parts.endpoints.ReclaimInactive(now);
  RefreshWatch(parts, now, effects);
  RefreshPoll(parts, now, effects);
  RefreshSeats(parts, now, effects);
  RefreshRoster(parts, now, effects);
  if (parts.phase == Phase::kStarting)
    AskPeersForLists(parts, 1, effects);
}

/** The store confirmed the lists; what else is new only peers can tell, if there are any. */
void ConfirmByStore(Parts& parts, TimePoint now) {
  const bool alone = parts.members.CountServing(now) <= 1;
  if (alone)
    parts.lists.revalidate_until = {};
}

void CloseIfDue(Parts& parts, TimePoint now, Effects& effects) {
  if (parts.phase != Phase::kLeaving || now < parts.close_at)
    return;
  parts.phase = Phase::kClosing;
  effects.push_back(Effect::CloseListeners{});
}

}  // namespace

void OnListsReceived(Parts& parts, const Event::ListsReceived& event, Effects& effects) {
  if (event.generation <= parts.lists.generation)
    return;
  parts.lists.generation = event.generation;
  ApplyLists(parts, *event.lists, event.now);
  if (!parts.options.discovery || parts.feed.as_of > 0)
    BecomeReady(parts);
  for (ServiceState& service : parts.services)
    DispatchWaiting(parts, service, event.now, effects);
  parts.gossip_now = true;
  if (parts.options.discovery)
    TellOfLists(parts, event.now, effects);
}

void BecomeReady(Parts& parts) {
  if (parts.phase == Phase::kStarting)
    parts.phase = Phase::kServing;
}

void OnStoreConfirmed(Parts& parts, const Event::StoreConfirmed& event, Effects& effects) {
  ListsTracker& lists = parts.lists;
  if (event.generation <= lists.generation)
    ConfirmByStore(parts, event.now);
  if (event.generation <= lists.generation)
    lists.store_confirmed_at = event.now;
  const bool older = event.generation < lists.generation;
  if (!older || !lists.watching || event.now - lists.last_restore < kRestorePeriod)
    return;
  lists.last_restore = event.now;
  effects.push_back(Effect::RestoreLists{lists.generation});
}

namespace {

/**
 * Whether a mark of the list may speak of an earlier incarnation: the list lags, and a mark without an
 * incarnation cannot say which one it means.
 */
bool MayBeOutdated(const EndpointState& state, const Event::DirectoryReceived::EndpointMark& mark, TimePoint now) {
  return mark.incarnation == 0 && state.ramp_start != TimePoint() && now - state.ramp_start < kListLag;
}

void ApplyMark(Parts& parts, const Event::DirectoryReceived::EndpointMark& mark, TimePoint now) {
  const EndpointHandle endpoint = parts.endpoints.FindByHash(Hash64(mark.name));
  if (!endpoint.IsValid())
    return;
  EndpointState& state = parts.At(endpoint);
  if (mark.leaving && !MayBeOutdated(state, mark, now))
    RecordLeaving(parts, endpoint, mark.incarnation, now);
  if (mark.leaving)
    return;
  RecordAlive(parts, endpoint, mark.incarnation, now);
  // A mark that no incarnation stands behind came from the list alone, and the list takes it back.
  if (state.leaving && state.leaving_incarnation == 0)
    state.leaving = false;
}

}  // namespace

void OnDirectoryReceived(Parts& parts, const Event::DirectoryReceived& event, Effects& /*effects*/) {
  parts.members.Listed(event.members, event.whole, event.now);
  for (const auto& mark : event.endpoints)
    ApplyMark(parts, mark, event.now);
}

void OnProbeEnded(Parts& parts, const Event::ProbeEnded& event, Effects& effects) {
  if (event.answered)
    LearnFromLoadReport(parts, event.endpoint, event.load, event.now);
  OnLoadProbeEnded(parts, event, effects);
}

void OnSeatGranted(Parts& parts, const Event::SeatGranted& event, Effects& effects) {
  if (parts.phase != Phase::kServing) {
    effects.push_back(Effect::ReleaseSeat{event.seat});
    return;
  }
  parts.probes.Grant(event.seat, event.valid_until, event.now);
}

void OnSeatRefused(Parts& parts, const Event::SeatRefused& event, Effects& /*effects*/) {
  parts.probes.Release(event.seat);
}

void NotePause(Parts& parts, TimePoint now, Effects& effects) {
  const bool paused = parts.last_tick != TimePoint() && now - parts.last_tick > kPauseLimit;
  if (!paused)
    return;
  const Duration pause = now - parts.last_tick;
  parts.last_tick = now;
  OnResumed(parts, pause, now, effects);
}

void OnTick(Parts& parts, const Event::Tick& event, Effects& effects) {
  const TimePoint now = event.now;
  parts.last_tick = now;
  for (ServiceState& service : parts.services) {
    RejectExpiredWaiting(parts, service, now, effects);
    DispatchWaiting(parts, service, now, effects);
  }
  if (parts.gossip_now || now >= parts.next_gossip) {
    parts.gossip_now = false;
    parts.next_gossip = now + parts.options.gossip_period;
    SendGossipRound(parts, now, effects);
  }
  if (now >= parts.next_probe_check) {
    parts.next_probe_check = now + kProbeCheckPeriod;
    SendDueProbes(parts, now, effects);
  }
  RefreshDiscovery(parts, now, effects);
  RefreshWatchers(parts, now, effects);
  if (now >= parts.next_role_check)
    RefreshRoles(parts, now, effects);
  CloseIfDue(parts, now, effects);
}

TimePoint NextTickOf(const Parts& parts, TimePoint now) {
  if (parts.gossip_now || CountWaiting(parts) > 0)
    return now + kTickPeriod;
  TimePoint next = std::min({parts.next_gossip, parts.next_role_check, NextDiscovery(parts), NextWatcherCheck(parts)});
  if (parts.probes.HoldsAny(now))
    next = std::min(next, parts.next_probe_check);
  if (parts.phase == Phase::kLeaving)
    next = std::min(next, parts.close_at);
  return std::max(next, now);
}

void OnSettingsChanged(Parts& parts, const Event::SettingsChanged& event) {
  StateOptions& options = parts.options;
  const bool budgets_change = event.retry_ratio != options.retry_ratio || event.retry_slack != options.retry_slack;
  options.retry_ratio = event.retry_ratio;
  options.retry_slack = event.retry_slack;
  options.address_ttl = event.address_ttl;
  options.linger_limit = event.linger_limit;
  if (budgets_change)
    ResetBudgets(parts);
}

void OnStopRequested(Parts& parts, const Event::StopRequested& event, Effects& effects) {
  if (parts.phase == Phase::kLeaving || parts.phase == Phase::kClosing)
    return;
  const bool served = parts.phase == Phase::kServing;
  parts.phase = Phase::kLeaving;
  parts.self.leaving = true;
  // Callers may use an address answer that a peer gave before it heard of the stop.
  const Duration linger = std::min<Duration>(kLeaveSpread + parts.options.address_ttl, parts.options.linger_limit);
  parts.close_at = served ? event.now + linger : event.now;
  ReleaseSeats(parts, event.now, effects);
  SendGossipRound(parts, event.now, effects);
}

}  // namespace sassafras
