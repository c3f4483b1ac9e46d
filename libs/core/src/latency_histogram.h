#pragma once

#include <chrono>
#include <memory>

#include "base/clock.h"

namespace sassafras {

/**
 * Running distribution of latencies in buckets of about 8 %, from 50 us to 100 s. Old samples lose half of their weight
 * whenever enough new ones have arrived, so memory is fixed and the distribution follows changes. Adding and reading
 * do not allocate.
 */
class LatencyHistogram {
 public:
  /** Total weight of samples below which HasEnough() is false: their percentiles would be mostly chance. */
  static constexpr float kMinWeight = 10.0F;

  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&& other) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&& other) noexcept;

  /** Adds a sample; one with a `weight` below 1 has less influence. */
  void Add(Duration latency, float weight, TimePoint now);
  bool HasEnough() const { return m_total >= kMinWeight; }
  /** Returns the upper bound of the bucket that holds the `share` quantile; meaningful only if HasEnough(). */
  std::chrono::microseconds Quantile(float share) const;

 private:
  struct Buckets;

  void HalveWeights(TimePoint now);

  std::unique_ptr<Buckets> m_buckets;
  float m_total = 0;
  TimePoint m_halved_at{};
};

}  // namespace sassafras
