#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

#include "base/clock.h"
#include "core/call_handle.h"
#include "core/effect.h"
#include "core/outcome.h"
#include "core/plan_counters.h"

namespace sassafras {

struct CallState;
struct StateParts;
struct RecordedAnswer;

/** Counts one ended call of a plan. */
void CountOutcome(StateParts& parts, const CallState& call, uint64_t PlanCounters::*field, TimePoint now);

/**
 * When a caller that is refused should come back, by the time that it still gives. Drawn at random, so that those who
 * were refused together do not come back together; later if there was no room than if endpoints refused at random.
 */
std::chrono::milliseconds RetryAfterFor(StateParts& parts, Reason reason, Duration left);

/** Ends a call that got its whole answer, and gives the answer to calls that wait for its record. */
void EndAnswered(StateParts& parts,
                 CallHandle handle,
                 bool failure_status,
                 std::shared_ptr<const RecordedAnswer> answer,
                 TimePoint now,
                 Effects& effects);

/** Ends a call with an error, and calls that wait for its record likewise. */
void EndRejected(StateParts& parts, CallHandle handle, Reason reason, TimePoint now, Effects& effects);

/** Ends a call whose caller has gone; `may_have_run` decides whether a record of it stays. */
void EndCancelled(StateParts& parts, CallHandle handle, bool may_have_run, TimePoint now, Effects& effects);

}  // namespace sassafras
