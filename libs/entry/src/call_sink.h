#pragma once

#include <memory>
#include <string>

#include "core/call_handle.h"
#include "core/effect.h"
#include "core/outcome.h"

namespace sassafras {

struct RecordedAnswer;

/** Receives the effects of the reducer on one call. */
class CallSink {
 public:
  virtual ~CallSink() = default;
  virtual void OnAccepted(CallHandle call) = 0;
  virtual void OnDispatch(const Effect::Dispatch& dispatch) = 0;
  virtual void OnReject(const Effect::Reject& reject) = 0;
  /** Arms the timer that reports Event::ProbeWaitExpired at `at`. */
  virtual void OnArmProbeWaitTimer(TimePoint at) = 0;
  virtual void OnSendRecordedAnswer(std::shared_ptr<const RecordedAnswer> answer) = 0;
};

}  // namespace sassafras
