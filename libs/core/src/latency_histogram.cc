#include "latency_histogram.h"

#include <array>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <boost/histogram/weight.hpp>

namespace sassafras {
namespace {

namespace histogram = boost::histogram;

constexpr int kBucketCount = 192;
/** Bounds of the regular buckets in microseconds; one more bucket at each end takes what lies outside. */
constexpr double kLowest = 50;
constexpr double kHighest = 100e6;
/** Total weight at which all weights are halved: a few hundred samples settle the 98th percentile. */
constexpr float kMaxWeight = 1'024;
/** Weights are also halved after this time if at least kMinTimedWeight is left, so that quiet plans adapt too. */
constexpr std::chrono::minutes kMaxHalvingTime{1};
constexpr float kMinTimedWeight = 4 * LatencyHistogram::kMinWeight;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log, histogram::axis::null_type>;
using Weights = std::array<float, kBucketCount + 2>;

}  // namespace

struct LatencyHistogram::Buckets {
  using Histogram = decltype(histogram::make_histogram_with(Weights(), Axis(kBucketCount, kLowest, kHighest)));

  Histogram histogram = histogram::make_histogram_with(Weights(), Axis(kBucketCount, kLowest, kHighest));
};

LatencyHistogram::LatencyHistogram() : m_buckets(std::make_unique<Buckets>()) {
  static_assert(sizeof(Buckets) <= 1'024, "there is one for each plan");
}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&& other) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&& other) noexcept = default;

void LatencyHistogram::Add(Duration latency, float weight, TimePoint now) {
  const double micros = std::chrono::duration<double, std::micro>(latency).count();
  if (m_total == 0)
    m_halved_at = now;
  m_buckets->histogram(micros, histogram::weight(weight));
  m_total += weight;
  const bool timed = now - m_halved_at >= kMaxHalvingTime && m_total >= kMinTimedWeight;
  if (m_total >= kMaxWeight || timed)
    HalveWeights(now);
}

std::chrono::microseconds LatencyHistogram::Quantile(float share) const {
  const Axis& axis = m_buckets->histogram.axis();
  const float wanted = share * m_total;
  float sum = 0;
  for (int index = -1; index < kBucketCount; ++index) {
    sum += m_buckets->histogram.at(index);
    if (sum >= wanted)
      return std::chrono::microseconds(static_cast<int64_t>(axis.value(index + 1)));
  }
  return std::chrono::microseconds(static_cast<int64_t>(kHighest));
}

void LatencyHistogram::HalveWeights(TimePoint now) {
  m_buckets->histogram *= 0.5F;
  // Summed anew, so that rounding errors do not accumulate.
  m_total = 0;
  for (int index = -1; index <= kBucketCount; ++index)
    m_total += m_buckets->histogram.at(index);
  m_halved_at = now;
}

}  // namespace sassafras
