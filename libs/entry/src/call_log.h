#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "core/dispatch_basis.h"
#include "core/effect.h"
#include "core/event.h"
#include "core/outcome.h"

namespace sassafras {

class State;

/** The attempts of one call, as its log line tells them. */
class CallLog {
 public:
  /** Adds an attempt at an endpoint. */
  void AddAttempt(std::string_view endpoint, const DispatchBasis& basis);
  /** Adds how the attempt at an endpoint ended. */
  void AddEnd(std::string_view endpoint, AttemptResult result, unsigned status, Duration took);

  /** Writes the line of a call that an endpoint answered with `status`. */
  void WriteAnswered(std::string_view id, const State& state, PlanHandle plan, unsigned status, Duration took) const;
  /** Writes the line of a call that got an error of this instance. */
  void WriteRejected(std::string_view id,
                     const State& state,
                     PlanHandle plan,
                     const Effect::Reject& reject,
                     Duration took);
  /** Writes the line of a call whose caller went away. */
  void WriteGone(std::string_view id, const State& state, PlanHandle plan, Duration took) const;

 private:
  void Write(std::string_view id,
             const State& state,
             PlanHandle plan,
             std::string_view outcome,
             std::string_view detail,
             Duration took,
             bool well) const;

  uint32_t m_attempts = 0;
  std::string m_text;
};

}  // namespace sassafras
