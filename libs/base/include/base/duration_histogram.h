#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace sassafras {

/** Histogram of durations with fixed buckets, in the Prometheus format. */
class DurationHistogram {
 public:
  /** Adds one duration. */
  void Observe(std::chrono::steady_clock::duration duration);
  /** Renders the cumulative buckets, the sum in seconds and the count under `name`. */
  std::string RenderText(std::string_view name) const;

 private:
  /** Inclusive upper bounds of the buckets; the last bucket has none. */
  static constexpr std::array<std::chrono::microseconds, 9> kBounds = {
      std::chrono::microseconds(50),    std::chrono::microseconds(100),    std::chrono::microseconds(200),
      std::chrono::microseconds(400),   std::chrono::microseconds(860),    std::chrono::microseconds(2'000),
      std::chrono::microseconds(5'000), std::chrono::microseconds(20'000), std::chrono::microseconds(100'000)};

  std::array<uint64_t, kBounds.size() + 1> m_counts{};
  std::chrono::nanoseconds m_sum{0};
};

}  // namespace sassafras
