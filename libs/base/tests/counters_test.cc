#include <doctest/doctest.h>

#include "base/counters.h"
#include "base/duration_histogram.h"

namespace sassafras {
namespace {

TEST_CASE("counters are rendered with their labels") {
  Counters counters;
  const CounterId calls = counters.Register("calls_total", "plan=\"a\"");
  const CounterId again = counters.Register("calls_total", "plan=\"a\"");
  const CounterId other = counters.Register("calls_total", "plan=\"b\"");
  CHECK(calls == again);
  CHECK(calls != other);
  counters.Add(calls, 3);
  counters.Set(other, 9);
  CHECK(counters.RenderText() == "calls_total{plan=\"a\"} 3\ncalls_total{plan=\"b\"} 9\n");
}

TEST_CASE("buckets are cumulative and their upper bounds are inclusive") {
  DurationHistogram buckets;
  buckets.Observe(std::chrono::microseconds(50));
  buckets.Observe(std::chrono::microseconds(860));
  buckets.Observe(std::chrono::seconds(2));
  const std::string text = buckets.RenderText("d");
  CHECK(text.find("d_bucket{le=\"5e-05\"} 1\n") != std::string::npos);
  CHECK(text.find("d_bucket{le=\"0.00086\"} 2\n") != std::string::npos);
  CHECK(text.find("d_bucket{le=\"0.1\"} 2\n") != std::string::npos);
  CHECK(text.find("d_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
  CHECK(text.find("d_count 3\n") != std::string::npos);
}

}  // namespace
}  // namespace sassafras
