#pragma once

#include "control_sink.h"

namespace sassafras {

/** Ignores all effects, but for those that a test handles. */
class NullControlSink : public ControlSink {
 public:
  void OnEffect(const Effect::SendProbe&) override {}
  void OnEffect(const Effect::ReadEndpoints&) override {}
  void OnEffect(const Effect::SendGossip&) override {}
  void OnEffect(const Effect::FetchLists&) override {}
  void OnEffect(const Effect::PollStore&) override {}
  void OnEffect(const Effect::WatchStore&) override {}
  void OnEffect(const Effect::ReadRoster&) override {}
  void OnEffect(const Effect::WriteRoster&) override {}
  void OnEffect(const Effect::RestoreLists&) override {}
  void OnEffect(const Effect::ClaimSeat&) override {}
  void OnEffect(const Effect::ReleaseSeat&) override {}
  void OnEffect(const Effect::CloseListeners&) override {}
  void OnEffect(const Effect::WriteLogRecord&) override {}
};

}  // namespace sassafras
