#pragma once

#include "core/effect.h"

namespace sassafras {

/** Receives the reducer's effects on peers, the platform, probes and the life cycle of the instance. */
class ControlSink {
 public:
  virtual ~ControlSink() = default;
  virtual void OnEffect(const Effect::SendProbe& effect) = 0;
  virtual void OnEffect(const Effect::ReadEndpoints& effect) = 0;
  virtual void OnEffect(const Effect::SendGossip& effect) = 0;
  virtual void OnEffect(const Effect::FetchLists& effect) = 0;
  virtual void OnEffect(const Effect::PollStore& effect) = 0;
  virtual void OnEffect(const Effect::WatchStore& effect) = 0;
  virtual void OnEffect(const Effect::ReadRoster& effect) = 0;
  virtual void OnEffect(const Effect::WriteRoster& effect) = 0;
  virtual void OnEffect(const Effect::RestoreLists& effect) = 0;
  virtual void OnEffect(const Effect::ClaimSeat& effect) = 0;
  virtual void OnEffect(const Effect::ReleaseSeat& effect) = 0;
  virtual void OnEffect(const Effect::CloseListeners& effect) = 0;
  virtual void OnEffect(const Effect::WriteLogRecord& effect) = 0;
};

}  // namespace sassafras
