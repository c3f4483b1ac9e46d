#include <doctest/doctest.h>

#include <chrono>

#include "latency_histogram.h"

namespace sassafras {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

// Guards against delays that are far from the latencies that were measured.
TEST_CASE("a quantile is that of the samples, at most 8 % above it") {
  LatencyHistogram latencies;
  for (int i = 1; i <= 100; ++i)
    latencies.Add(milliseconds(i), 1.0F, kStart);
  for (const int percent : {50, 75, 95, 99}) {
    const microseconds quantile = latencies.Quantile(static_cast<float>(percent) / 100);
    CAPTURE(percent);
    CHECK(quantile >= milliseconds(percent));
    CHECK(quantile <= microseconds(percent * 1'080));
  }
}

// Guards against undefined positions for latencies that no bucket covers.
TEST_CASE("latencies outside the range of the buckets count at its ends") {
  LatencyHistogram latencies;
  for (int i = 0; i < 20; ++i)
    latencies.Add(Duration::zero(), 1.0F, kStart);
  CHECK(latencies.Quantile(0.95F) <= microseconds(60));
  for (int i = 0; i < 400; ++i)
    latencies.Add(std::chrono::hours(1), 1.0F, kStart);
  CHECK(latencies.Quantile(0.95F) >= seconds(99));
}

// Guards against a delay that stays at the latencies of a busier day, with many samples or with few.
TEST_CASE("old samples lose their influence, by number and by time") {
  LatencyHistogram busy;
  LatencyHistogram quiet;
  for (int i = 0; i < 5'000; ++i)
    busy.Add(milliseconds(100), 1.0F, kStart);
  for (int i = 0; i < 3'000; ++i)
    busy.Add(milliseconds(10), 1.0F, kStart);
  CHECK(busy.Quantile(0.9F) < milliseconds(11));
  TimePoint now = kStart;
  for (int i = 0; i < 400; ++i)
    quiet.Add(milliseconds(100), 1.0F, now);
  for (int i = 0; i < 200; ++i)
    quiet.Add(milliseconds(10), 1.0F, now += seconds(3));
  CHECK(quiet.Quantile(0.9F) < milliseconds(11));
  CHECK(quiet.HasEnough());
}

// Guards against percentiles that are read from a few samples, which are chance.
TEST_CASE("a few samples, or many of little weight, are not enough") {
  LatencyHistogram latencies;
  for (int i = 0; i < 50; ++i)
    latencies.Add(milliseconds(10), 0.1F, kStart);
  CHECK_FALSE(latencies.HasEnough());
  for (int i = 0; i < 10; ++i)
    latencies.Add(milliseconds(10), 1.0F, kStart);
  CHECK(latencies.HasEnough());
}

}  // namespace
}  // namespace sassafras
