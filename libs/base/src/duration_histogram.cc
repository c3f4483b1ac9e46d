#include "base/duration_histogram.h"

#include <algorithm>
#include <iterator>

#include <fmt/format.h>

namespace sassafras {

void DurationHistogram::Observe(std::chrono::steady_clock::duration duration) {
  const auto bound = std::lower_bound(kBounds.begin(), kBounds.end(), duration);
  ++m_counts[static_cast<size_t>(bound - kBounds.begin())];
  m_sum += duration;
}

std::string DurationHistogram::RenderText(std::string_view name) const {
  std::string text;
  uint64_t count = 0;
  for (size_t i = 0; i < m_counts.size(); ++i) {
    count += m_counts[i];
    const std::string bound =
        i < kBounds.size() ? fmt::format("{}", std::chrono::duration<double>(kBounds[i]).count()) : "+Inf";
    fmt::format_to(std::back_inserter(text), "{}_bucket{{le=\"{}\"}} {}\n", name, bound, count);
  }
  fmt::format_to(std::back_inserter(text), "{}_sum {}\n{}_count {}\n", name,
                 std::chrono::duration<double>(m_sum).count(), name, count);
  return text;
}

}  // namespace sassafras
