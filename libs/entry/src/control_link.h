#pragma once

#include <cstdint>

#include "core/effect.h"

namespace sassafras {

/** Executes the reducer's effects on the platform: reading lists and endpoints, the roster and probe seats. */
class ControlLink {
 public:
  virtual ~ControlLink() = default;
  virtual void OnEffect(const Effect::FetchLists& effect) = 0;
  virtual void OnEffect(const Effect::PollStore& effect) = 0;
  virtual void OnEffect(const Effect::WatchStore& effect) = 0;
  virtual void OnEffect(const Effect::ReadRoster& effect) = 0;
  virtual void OnEffect(const Effect::WriteRoster& effect) = 0;
  virtual void OnEffect(const Effect::ReadEndpoints& effect) = 0;
  virtual void OnEffect(const Effect::RestoreLists& effect) = 0;
  virtual void OnEffect(const Effect::ClaimSeat& effect) = 0;
  virtual void OnEffect(const Effect::ReleaseSeat& effect) = 0;
  /** Called when the instance begins a planned stop. */
  virtual void OnStopRequested() = 0;

  /** Number of requests sent to the platform. */
  virtual uint64_t RequestCount() const = 0;
  /** Number of those requests that failed. */
  virtual uint64_t FailureCount() const = 0;
};

}  // namespace sassafras
