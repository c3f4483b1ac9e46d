#include "flow_result.h"

#include <algorithm>

namespace sassafras {

using std::chrono::microseconds;

void FlowResult::AddAnswer(microseconds latency, std::chrono::milliseconds deadline, bool correct) {
  m_answer_latencies.push_back(latency);
  if (latency <= deadline)
    ++m_in_time_count;
  if (!correct)
    ++m_wrong_count;
}

void FlowResult::AddFailure(const std::string& outcome, microseconds latency) {
  ++m_failures_by_outcome[outcome];
  ++m_failure_count;
  m_slowest_failure = std::max(m_slowest_failure, latency);
}

microseconds FlowResult::Percentile(double percent) const {
  if (m_answer_latencies.empty())
    return microseconds(0);
  const auto rank = static_cast<size_t>(percent / 100.0 * static_cast<double>(m_answer_latencies.size()));
  return m_answer_latencies[std::min(rank, m_answer_latencies.size() - 1)];
}

boost::json::object FlowResult::ToJson() {
  std::sort(m_answer_latencies.begin(), m_answer_latencies.end());
  boost::json::object failures;
  for (const auto& [name, count] : m_failures_by_outcome)
    failures[name] = count;
  return {{"sent", CallCount()},
          {"answered", m_answer_latencies.size()},
          {"in_time", m_in_time_count},
          {"wrong_answers", m_wrong_count},
          {"failures", std::move(failures)},
          {"p50_us", Percentile(50).count()},
          {"p90_us", Percentile(90).count()},
          {"p99_us", Percentile(99).count()},
          {"p999_us", Percentile(99.9).count()},
          {"max_us", Percentile(100).count()},
          {"slowest_failure_us", m_slowest_failure.count()}};
}

}  // namespace sassafras
