#pragma once

#include <array>
#include <chrono>
#include <cstdint>

#include "base/clock.h"
#include "core/plan_counters.h"

namespace sassafras {

/** Outcomes of the calls of a plan over the last hour in buckets of ten seconds, for its error budget burn rate. */
class OutcomeHistory {
 public:
  static constexpr std::chrono::seconds kBucketLength{10};
  static constexpr size_t kBucketCount = 360;

  /** Counts a call in the bucket of `now`; ignores counters that are not outcomes of calls. */
  void Add(uint64_t PlanCounters::*field, TimePoint now);
  /** Returns the sum over the buckets of the last `window`, at most an hour. */
  PlanCounters Sum(std::chrono::seconds window, TimePoint now) const;

 private:
  struct Bucket {
    /** Number of bucket lengths since the epoch of the clock; -1 if unused. */
    int64_t number = -1;
    std::array<uint32_t, 6> counts{};
  };
  std::array<Bucket, kBucketCount> m_buckets;
};

}  // namespace sassafras
