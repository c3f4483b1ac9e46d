#pragma once

#include <memory>
#include <string>

#include "core/call_handle.h"
#include "core/effect.h"
#include "core/outcome.h"

namespace sassafras {

struct RecordedAnswer;

/** Receives the effects that concern one call. */
class CallSink {
 public:
  virtual ~CallSink() = default;
  virtual void OnAccepted(CallHandle call) = 0;
  virtual void OnDispatch(const Effect::Dispatch& dispatch) = 0;
  virtual void OnReject(const Effect::Reject& reject) = 0;
  /** Report LoadQueryTimeout at `at`. */
  virtual void OnArmAsk(TimePoint at) = 0;
  virtual void OnRecorded(std::shared_ptr<const RecordedAnswer> answer) = 0;
};

}  // namespace sassafras
