#pragma once

#include <cstdint>

#include "base/clock.h"
#include "core/effect.h"

namespace sassafras {

struct GossipMessage;
struct StateParts;

/**
 * Some instances, the watchers, watch the platform's store for the fleet or, with discovery, for their failure domain.
 * With discovery, every other instance regularly queries a watcher, to detect that it is gone, and polls the store
 * after each kMissedRepliesBeforePoll missed replies.
 *
 * Two other roles use the store as well, both with discovery: the readers (discovery.cc) read the changes to endpoints
 * for the fleet, and the writer (roster.cc) writes the roster of instances.
 */

/** Whether this instance is a watcher. */
bool IsWatcher(const StateParts& parts, TimePoint now);

/** Sends the next query to a watcher, counts missed replies and polls the store after too many. */
void CheckWatchers(StateParts& parts, TimePoint now, Effects& effects);

/** Handles the reply of a watcher; ignores other messages. */
void OnWatcherReply(StateParts& parts, const GossipMessage& message, TimePoint now);

/** When CheckWatchers() next has work to do; TimePoint::max() if no check is needed, as in a watcher. */
TimePoint NextWatcherCheckTime(const StateParts& parts);

}  // namespace sassafras
