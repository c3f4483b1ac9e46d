#pragma once

#include <array>
#include <chrono>
#include <cstdint>

#include "base/clock.h"

namespace sassafras {

/**
 * Calls that this instance rejected lately, so that a caller that sends its request again is recognised: the request is
 * the same, and the caller's deadline has not moved. A caller that merely allows little time is not taken for one that
 * was rejected before. A caller that was rejected by another instance is not recognised.
 */
class RejectedCalls {
 public:
  /** Number of slots, indexed by fingerprint; a newer call replaces an older one. */
  static constexpr size_t kSlots = 4'096;
  /**
   * Maximum difference between the deadlines that a caller states with two tries, from transit times and from rounding
   * to milliseconds.
   */
  static constexpr std::chrono::milliseconds kDeadlineTolerance{25};

  /**
   * Records that a call was rejected.
   * @param arrived_at       arrival of the try that was rejected
   * @param caller_deadline  time until which the caller waits, by what it stated
   * @param spent_before     result of SpentBefore() for this try
   */
  void Record(uint64_t fingerprint, TimePoint arrived_at, TimePoint caller_deadline, Duration spent_before);

  /** Returns the time between the caller's first try and this one, which arrives now; zero for a first try. */
  Duration SpentBefore(uint64_t fingerprint, TimePoint caller_deadline, TimePoint now) const;

 private:
  struct Try {
    uint64_t fingerprint = 0;
    /** Arrival of the caller's first try and of its latest one. */
    TimePoint first_arrived_at{};
    TimePoint arrived_at{};
    TimePoint caller_deadline{};
  };

  std::array<Try, kSlots> m_tries;
};

}  // namespace sassafras
