#include "core/reducer.h"

#include <utility>
#include <variant>

#include "attempts.h"
#include "calls.h"
#include "control.h"
#include "discovery.h"
#include "evacuations.h"
#include "gossip.h"
#include "hedge_policy.h"
#include "key_confirmation.h"
#include "load_probing.h"
#include "roster.h"
#include "state_parts.h"

namespace sassafras {
namespace {

/** Calls the handler for each type of event. */
struct Router {
  StateParts& parts;
  Effects& effects;

  void operator()(const Event::ListsReceived& event) { OnListsReceived(parts, event, effects); }
  void operator()(const Event::StoreConfirmed& event) { OnStoreConfirmed(parts, event, effects); }
  void operator()(const Event::SuspensionNoticed& event) { OnSuspensionNoticed(parts, event); }
  void operator()(const Event::DirectoryReceived& event) { OnDirectoryReceived(parts, event, effects); }
  void operator()(const Event::GossipReceived& event) { OnGossipReceived(parts, event, effects); }
  void operator()(const Event::CallArrived& event) { OnCallArrived(parts, event, effects); }
  void operator()(const Event::CallerGone& event) { OnCallerGone(parts, event, effects); }
  void operator()(const Event::EndpointsReceived& event) { OnEndpointsReceived(parts, event, effects); }
  void operator()(const Event::EvacuationsReceived& event) { OnEvacuationsReceived(parts, event, effects); }
  void operator()(const Event::RosterReceived& event) { OnRosterReceived(parts, event); }
  void operator()(const Event::StoreReadEnded& event) { OnStoreReadEnded(parts, event, effects); }
  void operator()(const Event::ProbeWaitExpired& event) { OnProbeWaitExpired(parts, event, effects); }
  void operator()(const Event::HedgeDue& event) { OnHedgeDue(parts, event, effects); }
  void operator()(const Event::AnswerStarted& event) { OnAnswerStarted(parts, event); }
  void operator()(const Event::AttemptEnded& event) { OnAttemptEnded(parts, event, effects); }
  void operator()(const Event::EndpointReported& event) { OnEndpointReported(parts, event); }
  void operator()(const Event::ProbeEnded& event) { OnProbeEnded(parts, event, effects); }
  void operator()(const Event::SeatGranted& event) { OnSeatGranted(parts, event, effects); }
  void operator()(const Event::SeatRefused& event) { OnSeatRefused(parts, event, effects); }
  void operator()(const Event::Tick& event) { OnTick(parts, event, effects); }
  void operator()(const Event::SettingsChanged& event) { OnSettingsChanged(parts, event); }
  void operator()(const Event::StopRequested& event) { OnStopRequested(parts, event, effects); }
};

}  // namespace

void Reduce(State& state, const Event::Any& event, Effects& effects) {
  const TimePoint now = std::visit([](const auto& kind) { return kind.now; }, event);
  // The first event after a pause need not be a tick.
  HandlePause(state.MutableParts(), now, effects);
  std::visit(Router{state.MutableParts(), effects}, event);
  for (LogRecord& record : state.MutableParts().log_records)
    effects.push_back(Effect::WriteLogRecord{std::move(record)});
  state.MutableParts().log_records.clear();
}

}  // namespace sassafras
