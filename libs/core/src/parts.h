#pragma once

#include <random>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "call_table.h"
#include "core/note.h"
#include "core/state.h"
#include "core/state_options.h"
#include "endpoint_feed.h"
#include "endpoint_table.h"
#include "idempotency_table.h"
#include "lists/caller_limits.h"
#include "lists_tracker.h"
#include "membership.h"
#include "plan_index.h"
#include "plan_state.h"
#include "probe_schedule.h"
#include "quarantine.h"
#include "roster_state.h"
#include "rumor_board.h"
#include "service_state.h"
#include "timed_token_bucket.h"
#include "watcher_state.h"

namespace sassafras {

/** The parts of State, one for each matter. */
struct Parts {
  explicit Parts(const StateOptions& options_in);

  ServiceState& ServiceOf(const CallState& call) { return At(call.service); }
  /** Endpoints that the call may use; none once its plan no longer uses the call's service. */
  const std::vector<EndpointHandle>& CandidatesOf(const CallState& call) const;
  PlanState& At(PlanHandle handle) { return plans[handle.Index()]; }
  ServiceState& At(ServiceHandle handle) { return services[handle.Index()]; }
  EndpointState& At(EndpointHandle handle) { return endpoints[handle]; }
  /** Epoch of this instance's idempotency tokens. */
  uint32_t EpochAt(TimePoint now) const;

  StateOptions options;
  std::mt19937_64 random;
  uint64_t self_hash = 0;
  Member self;
  Phase phase = Phase::kStarting;
  /** When a leaving instance closes its listeners. */
  TimePoint close_at{};

  CallerLimits limits;
  std::vector<PlanState> plans;
  PlanIndex plan_index;
  std::vector<ServiceState> services;
  EndpointTable endpoints;
  CallTable calls;
  EndpointFeed feed;
  IdempotencyTable records;
  Quarantine quarantine;
  ListsTracker lists;
  Membership members;
  RumorBoard rumors;
  RosterState roster;
  WatcherState watchers;
  ProbeSchedule probes;
  /** Questions to endpoints that this instance may still ask. */
  TimedTokenBucket ask_budget;
  /** Moving average of the time in which an endpoint answers when asked. */
  float ask_rtt_us = 0;
  uint64_t probes_sent = 0;
  /** What has changed in this instance's belief since the last event; Reduce() passes it on to the log. */
  std::vector<Note> notes;
  /** Whether a new fact waits to be sent before the next gossip round. */
  bool gossip_now = false;
  /** Largest number of serving instances seen since the start. */
  size_t largest_fleet = 0;
  /** Number of instances among which shared limits are divided: never fewer than there may be. */
  double FleetShare() const;

  /** When a peer was last asked because it knew of other leaving endpoints. */
  TimePoint last_compared{};
  /** When a peer that lags behind was last told so. */
  TimePoint last_told{};
  TimePoint last_tick{};
  TimePoint next_gossip{};
  TimePoint next_probe_check{};
  TimePoint next_role_check{};
  TimePoint next_seat_claim{};
};

}  // namespace sassafras
