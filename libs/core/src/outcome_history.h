#pragma once

#include <array>
#include <chrono>
#include <cstdint>

#include "base/clock.h"
#include "core/plan_counters.h"

namespace sassafras {

/** Counters of one plan over the last hour in buckets of ten seconds. */
class OutcomeHistory {
 public:
  static constexpr std::chrono::seconds kBucketLength{10};
  static constexpr size_t kBucketCount = 360;

  /** Adds one call to the bucket of `now`; `field` names the outcome. */
  void Add(uint64_t PlanCounters::*field, TimePoint now);
  /** Sums the buckets of the last `window`. */
  PlanCounters Sum(std::chrono::seconds window, TimePoint now) const;

 private:
  struct Bucket {
    int64_t number = -1;
    std::array<uint32_t, 6> counts{};
  };
  std::array<Bucket, kBucketCount> m_buckets;
};

}  // namespace sassafras
