#pragma once

#include <cstdint>

#include "base/clock.h"
#include "core/effect.h"

namespace sassafras {

struct GossipMessage;
struct StateParts;

/**
 * Some instances, the watchers, watch the platform's store for the fleet or, with discovery, for their failure domain.
 * With discovery, every other instance regularly queries a watcher, whose reply states the age of what it knows; if no
 * reply comes, what the instance knows grows old (freshness.h).
 *
 * With discovery, a watcher watches the endpoints (discovery.cc) as well as the lists, and one watcher confirms for all
 * that nothing has changed (freshness.h). The writer (roster.cc) writes the roster of instances.
 */

/** Whether this instance is a watcher. */
bool IsWatcher(const StateParts& parts, TimePoint now);

/** Whether this instance is the first of all watchers of the fleet; only with discovery. */
bool IsFirstWatcher(const StateParts& parts, TimePoint now);

/** Tells the watchers of the other failure domains what this instance knows, and when it was confirmed. */
void AnnounceStateToWatchers(StateParts& parts, TimePoint now, Effects& effects);

/** Sends the next query to a watcher and counts missed replies. */
void CheckWatchers(StateParts& parts, TimePoint now, Effects& effects);

/** Handles the reply of a watcher; ignores other messages. */
void OnWatcherReply(StateParts& parts, const GossipMessage& message, TimePoint now);

/** When CheckWatchers() next has work to do; TimePoint::max() if no check is needed, as in a watcher. */
TimePoint NextWatcherCheckTime(const StateParts& parts);

}  // namespace sassafras
