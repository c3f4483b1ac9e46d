#pragma once

#include <random>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "account_table.h"
#include "call_table.h"
#include "core/log_record.h"
#include "core/state.h"
#include "core/state_options.h"
#include "endpoint_feed.h"
#include "endpoint_table.h"
#include "evacuation_state.h"
#include "freshness_state.h"
#include "idempotency_table.h"
#include "key_confirmation.h"
#include "lists/caller_limits.h"
#include "lists_tracker.h"
#include "membership.h"
#include "plan_index.h"
#include "plan_table.h"
#include "probe_schedule.h"
#include "quarantine.h"
#include "quota_state.h"
#include "rejected_calls.h"
#include "roster_state.h"
#include "rumor_board.h"
#include "service_state.h"
#include "timed_token_bucket.h"
#include "warmup_fleet.h"
#include "watcher_state.h"

namespace sassafras {

/** The data of State; the event handlers change it. */
struct StateParts {
  explicit StateParts(const StateOptions& options_in);

  ServiceState& ServiceOf(const CallState& call) { return At(call.service); }
  /** Endpoints that the call may use; empty if its plan no longer uses the call's service. */
  const std::vector<EndpointHandle>& CandidatesOf(const CallState& call) const;
  const std::vector<EndpointHandle>& CandidatesOf(const PlanState& plan, const PlanBranch& branch) const;
  PlanState& At(PlanHandle handle) { return plans[handle]; }
  ServiceState& At(ServiceHandle handle) { return services[handle.Index()]; }
  AccountState& At(AccountHandle handle) { return accounts[handle]; }
  EndpointState& At(EndpointHandle handle) { return endpoints[handle]; }
  /** Whether calls of plans that are not public need an API key. */
  bool HasAccounts() const { return !accounts.Empty() || lists.lack_accounts; }
  /** Epoch of the idempotency tokens that this instance issues at `now`. */
  uint32_t EpochAt(TimePoint now) const;

  StateOptions options;
  std::mt19937_64 random;
  uint64_t self_hash = 0;
  Member self;
  Phase phase = Phase::kStarting;
  /** When a leaving instance closes its listeners. */
  TimePoint close_at{};
  /** When a leaving instance stops admitting calls. */
  TimePoint admit_until = TimePoint::max();
  /** From then on, a leaving instance admits only calls whose deadline has passed by the end of the process. */
  TimePoint admit_short_calls_from = TimePoint::max();
  /** When the process of a leaving instance ends even if calls are in progress. */
  TimePoint ends_at = TimePoint::max();

  CallerLimits limits;
  AccountTable accounts;
  PlanTable plans;
  PlanIndex plan_index;
  /** Plans in the lists whose candidates are not those that the plans of a service share. */
  std::vector<PlanHandle> plans_with_own_candidates;
  std::vector<ServiceState> services;
  absl::flat_hash_map<std::string, ServiceHandle> services_by_name;
  EndpointTable endpoints;
  CallTable calls;
  EndpointFeed feed;
  EvacuationState evacuations;
  IdempotencyTable records;
  Quarantine quarantine;
  RejectedCalls rejected_calls;
  QuotaState quota;
  ListsTracker lists;
  KeyConfirmation keys;
  Membership members;
  RumorBoard rumors;
  RosterState roster;
  WatcherState watchers;
  FreshnessState freshness;
  ProbeSchedule probes;
  /** Load probes that this instance may still send to endpoints. */
  TimedTokenBucket load_probe_budget;
  /** Moving average of the time in which an endpoint answers a load probe. */
  float load_probe_rtt_us = 0;
  uint64_t probes_sent = 0;
  WarmupFleet warmup_fleet;
  /** How often an endpoint in warm-up was passed over for a call, because its limit was reached. */
  uint64_t warmup_refusals = 0;
  /** Log records of the current event; Reduce() appends them to the effects. */
  std::vector<LogRecord> log_records;
  /** Whether a gossip round is due at once because of a new rumor or new lists. */
  bool gossip_pending = false;
  /** Largest number of serving instances since the start. */
  size_t largest_fleet = 0;
  /** Divisor for limits shared by the fleet: the fleet limit, or the largest fleet seen if that is more. */
  double FleetDivisor() const;

  /** When a peer was last queried because its leaving endpoints differed. */
  TimePoint last_leaving_query{};
  /** When a peer that lags behind was last notified. */
  TimePoint last_outdated_notice{};
  TimePoint last_tick{};
  TimePoint next_gossip{};
  TimePoint next_probe_check{};
  TimePoint next_maintenance{};
  TimePoint next_seat_claim{};
};

}  // namespace sassafras
