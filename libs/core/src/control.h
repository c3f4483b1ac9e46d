#pragma once

#include "base/clock.h"
#include "core/effect.h"
#include "core/event.h"

namespace sassafras {

struct StateParts;

/**
 * Detects that this process was paused. If so, holds calls for a limited time, until a peer confirms the lists and
 * endpoints, or the store confirms the lists if no other instance serves.
 */
void HandlePause(StateParts& parts, TimePoint now, Effects& effects);

/** Event handlers for lists, membership, probing and the lifecycle of the instance. */
void OnListsReceived(StateParts& parts, const Event::ListsReceived& event, Effects& effects);
void OnStoreConfirmed(StateParts& parts, const Event::StoreConfirmed& event, Effects& effects);
void OnDirectoryReceived(StateParts& parts, const Event::DirectoryReceived& event, Effects& effects);
void OnProbeEnded(StateParts& parts, const Event::ProbeEnded& event, Effects& effects);
void OnSeatGranted(StateParts& parts, const Event::SeatGranted& event, Effects& effects);
void OnSeatRefused(StateParts& parts, const Event::SeatRefused& event, Effects& effects);
/** Moves a starting instance to Phase::kServing if it knows all that it needs to serve. */
void StartServing(StateParts& parts);
void OnTick(StateParts& parts, const Event::Tick& event, Effects& effects);
void OnSettingsChanged(StateParts& parts, const Event::SettingsChanged& event);
void OnStopRequested(StateParts& parts, const Event::StopRequested& event, Effects& effects);

/** When the next Event::Tick is due. */
TimePoint NextTickTime(const StateParts& parts, TimePoint now);

}  // namespace sassafras
