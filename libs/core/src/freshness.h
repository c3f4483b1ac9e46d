#pragma once

#include <chrono>

#include "base/clock.h"
#include "core/effect.h"
#include "freshness_limits.h"

namespace sassafras {

struct StateParts;

// Bounds the age of what this instance knows of the store; see docs/design/freshness.md.

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
