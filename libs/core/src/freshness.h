#pragma once

#include <chrono>

#include "base/clock.h"
#include "core/effect.h"

namespace sassafras {

struct StateParts;

/**
 * Limits on the age of what an instance knows of the store; see docs/design/freshness.md.
 *
 * They divide the time within which a change that the store has accepted must be in force on every instance. Waits that
 * can follow one another never exceed that time in sum, whoever fails.
 */
struct FreshnessLimits {
  /** Longest time for which the confirmer lets the store wait for a change: what it knows is not older. */
  std::chrono::milliseconds watch_wait;
  /** Longest time between two queries of an instance to its watcher. */
  std::chrono::milliseconds query_period;
  /** Age at which the first instance of the fleet reads the store itself, and at which the last one does. */
  std::chrono::milliseconds first_read;
  std::chrono::milliseconds last_read;
};

/**
 * State of the confirmations that an instance gets, makes and passes on.
 *
 * One of the watchers, the confirmer, asks the store often whether anything has changed and tells the other watchers,
 * which their failure domains query. The other watchers only wait for changes.
 */
struct FreshnessState {
  /** Whether this instance is the confirmer of the fleet. */
  bool is_confirmer = false;
  /** Where the age at which this instance reads lies between the first and the last read of the fleet; 0 to 1. */
  double read_order = 1;
  /**
   * No read before this time: the fleet was not known, and there has to be time to be told what others know. Until the
   * fleet is known, there is none.
   */
  TimePoint reads_from = TimePoint::max();
  /** Not before this time, because the store has just failed a call of this instance. */
  TimePoint retry_at{};
  /** Whether a read is in progress whose result confirms the lists, or the endpoints, for the other instances too. */
  bool confirming_lists = false;
  bool confirming_endpoints = false;
  /** The confirmations of the lists and the endpoints after which a read for their age was logged. */
  TimePoint logged_lists = TimePoint::max();
  TimePoint logged_endpoints = TimePoint::max();
};

/** Returns the limits for changes that must be in force within `apply_limit`, which is used within bounds. */
FreshnessLimits FreshnessLimitsFor(std::chrono::milliseconds apply_limit);
FreshnessLimits ListsFreshness(const StateParts& parts);
FreshnessLimits EndpointsFreshness(const StateParts& parts);

/** Longest time for which this instance, as a watcher, lets the store wait for a change. */
std::chrono::milliseconds WatchWait(const StateParts& parts, const FreshnessLimits& limits);

/** Updates this instance's role and its place in the order of reads; the fleet's members may have changed. */
void UpdateFreshnessRole(StateParts& parts, TimePoint now);

/** When this instance reads the lists, or the endpoints, itself unless they are confirmed before. */
TimePoint ListsReadTime(const StateParts& parts);
TimePoint EndpointsReadTime(const StateParts& parts);

/** Reads the lists from the store if nobody has confirmed them lately. */
void ReadStaleLists(StateParts& parts, TimePoint now, Effects& effects);
/** Notes that this instance reads the endpoints because nobody has confirmed them lately. */
void OnStaleEndpointsRead(StateParts& parts, TimePoint now);

/** Handles the result of a call to the store. */
void OnStoreCallEnded(StateParts& parts, bool ok, TimePoint now);
/**
 * Tells peers that the store has just confirmed the lists, or the endpoints: the other watchers if this instance is the
 * confirmer, all peers if it read because nobody else had.
 */
void AnnounceConfirmedLists(StateParts& parts, TimePoint now, Effects& effects);
void AnnounceConfirmedEndpoints(StateParts& parts, TimePoint now, Effects& effects);

}  // namespace sassafras
