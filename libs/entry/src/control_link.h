#pragma once

#include <cstdint>

#include "core/effect.h"

namespace sassafras {

/** Carries out the effects that concern the lists and the platform. */
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
  /** The instance is about to stop. */
  virtual void Leave() = 0;

  /** Requests made of the platform and failures of them. */
  virtual uint64_t Calls() const = 0;
  virtual uint64_t Failures() const = 0;
};

}  // namespace sassafras
