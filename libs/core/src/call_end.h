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

/** Counts an ended call in its plan's counter `field`. */
void CountOutcome(StateParts& parts, const CallState& call, uint64_t PlanCounters::*field, TimePoint now);

/**
 * Returns how long a rejected caller should wait before it sends the request again: a random part of the time `left`
 * until its deadline, so that callers rejected together do not return together. The range depends on the reason; it is
 * higher after an overload than after refusals by individual endpoints.
 */
std::chrono::milliseconds RandomRetryAfter(StateParts& parts, Reason reason, Duration left);

/** Ends a call that got a complete answer, and passes the answer to calls that wait for its record. */
void EndAnswered(StateParts& parts,
                 CallHandle handle,
                 bool failure_status,
                 std::shared_ptr<const RecordedAnswer> answer,
                 TimePoint now,
                 Effects& effects);

/** Ends a call with an error, and with it the calls that wait for its record. */
void EndRejected(StateParts& parts, CallHandle handle, Reason reason, TimePoint now, Effects& effects);

/** Ends a call whose caller has disconnected. Its record is kept if the request may have run. */
void EndCancelled(StateParts& parts, CallHandle handle, bool may_have_run, TimePoint now, Effects& effects);

}  // namespace sassafras
