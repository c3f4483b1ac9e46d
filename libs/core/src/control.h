#pragma once

#include "base/clock.h"
#include "core/effect.h"
#include "core/event.h"

namespace sassafras {

struct Parts;

/** Recognises that this process was paused, and if so holds calls until its knowledge is confirmed. */
void NotePause(Parts& parts, TimePoint now, Effects& effects);

/** Sub-reducers for lists, membership, probing and the life of the instance. */
void OnListsReceived(Parts& parts, const Event::ListsReceived& event, Effects& effects);
void OnStoreConfirmed(Parts& parts, const Event::StoreConfirmed& event, Effects& effects);
void OnDirectoryReceived(Parts& parts, const Event::DirectoryReceived& event, Effects& effects);
void OnProbeEnded(Parts& parts, const Event::ProbeEnded& event, Effects& effects);
void OnSeatGranted(Parts& parts, const Event::SeatGranted& event, Effects& effects);
void OnSeatRefused(Parts& parts, const Event::SeatRefused& event, Effects& effects);
void BecomeReady(Parts& parts);
void OnTick(Parts& parts, const Event::Tick& event, Effects& effects);
void OnSettingsChanged(Parts& parts, const Event::SettingsChanged& event);
void OnStopRequested(Parts& parts, const Event::StopRequested& event, Effects& effects);

/** When Event::Tick is due next. */
TimePoint NextTickOf(const Parts& parts, TimePoint now);

}  // namespace sassafras
