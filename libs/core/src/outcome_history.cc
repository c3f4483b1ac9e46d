#include "outcome_history.h"

#include <algorithm>

namespace sassafras {
namespace {

using Field = uint64_t PlanCounters::*;

constexpr std::array<Field, 6> kOutcomeFields = {&PlanCounters::good,    &PlanCounters::slow,
                                                 &PlanCounters::failed,  &PlanCounters::not_run,
                                                 &PlanCounters::unknown, &PlanCounters::cancelled};

int64_t BucketNumber(TimePoint now) {
  return now.time_since_epoch() / OutcomeHistory::kBucketLength;
}

}  // namespace

void OutcomeHistory::Add(Field field, TimePoint now) {
  const auto position = std::find(kOutcomeFields.begin(), kOutcomeFields.end(), field);
  if (position == kOutcomeFields.end())
    return;
  const int64_t number = BucketNumber(now);
  Bucket& bucket = m_buckets[static_cast<size_t>(number) % kBucketCount];
  if (bucket.number != number)
    bucket = Bucket{number, {}};
  ++bucket.counts[static_cast<size_t>(position - kOutcomeFields.begin())];
}

PlanCounters OutcomeHistory::Sum(std::chrono::seconds window, TimePoint now) const {
  const int64_t last = BucketNumber(now);
  const int64_t first = last - std::min<int64_t>(window / kBucketLength, kBucketCount) + 1;
  PlanCounters sum;
  for (const Bucket& bucket : m_buckets) {
    if (bucket.number < first || bucket.number > last)
      continue;
    for (size_t i = 0; i < kOutcomeFields.size(); ++i)
      sum.*kOutcomeFields[i] += bucket.counts[i];
  }
  return sum;
}

}  // namespace sassafras
