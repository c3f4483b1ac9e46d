#include "rejected_calls.h"

namespace sassafras {

void RejectedCalls::Record(uint64_t fingerprint,
                           TimePoint arrived_at,
                           TimePoint caller_deadline,
                           Duration spent_before) {
  m_tries[fingerprint % kSlots] = {fingerprint, arrived_at - spent_before, arrived_at, caller_deadline};
}

Duration RejectedCalls::SpentBefore(uint64_t fingerprint, TimePoint caller_deadline, TimePoint now) const {
  const Try& last = m_tries[fingerprint % kSlots];
  if (last.fingerprint != fingerprint)
    return Duration::zero();
  // Another caller that sends the same request with the same limit has a deadline that is later by the time between the
  // two arrivals. Shortly after the earlier one the two cannot be told apart, so neither is taken for the other.
  if (now - last.arrived_at <= 2 * kDeadlineTolerance)
    return Duration::zero();
  const bool same_deadline = caller_deadline >= last.caller_deadline - kDeadlineTolerance &&
                             caller_deadline <= last.caller_deadline + kDeadlineTolerance;
  return same_deadline ? now - last.first_arrived_at : Duration::zero();
}

}  // namespace sassafras
