#pragma once

#include <chrono>
#include <cstdint>

#include "lists/plan.h"

namespace sassafras {

/**
 * What the plan of a call said when the call was admitted. The call keeps it to its end: later lists may give the
 * plan's name to other requests, for example if a route is split and one part keeps the name.
 */
struct CallTerms {
  Repeat repeat = Repeat::kNever;
  Work work = Work::kShort;
  /** Most endpoints to which the call may be sent. */
  uint32_t max_attempts = 1;
  std::chrono::microseconds objective_latency{};
};

/** Returns the terms of a call that `plan` admits. */
inline CallTerms TermsOf(const Plan& plan) {
  return {plan.repeat, plan.work, plan.max_attempts, plan.objective_latency};
}

}  // namespace sassafras
