#pragma once

#include <cstdint>

#include "base/clock.h"
#include "core/effect.h"

namespace sassafras {

struct GossipMessage;
struct Parts;

/**
 * The instances that watch the platform's store for the others of their failure domain, and how those notice that they
 * are gone: each asks one of them now and then, and reads the store itself when nobody answers.
 */

/** Whether this instance is one of those that watch. */
bool IsWatcher(const Parts& parts, TimePoint now);

/** Asks a watcher, or notes that one has not answered; reads the store where none does. */
void RefreshWatchers(Parts& parts, TimePoint now, Effects& effects);

/** Takes in that a peer has answered. */
void NoteWatcherAnswer(Parts& parts, const GossipMessage& message);

/** When RefreshWatchers() next has something to do; never where this instance watches itself. */
TimePoint NextWatcherCheck(const Parts& parts);

}  // namespace sassafras
