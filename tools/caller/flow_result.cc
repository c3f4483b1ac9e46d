#include "flow_result.h"

#include <algorithm>

namespace sassafras {

using std::chrono::microseconds;

void FlowResult::AddAnswer(microseconds latency, std::chrono::milliseconds deadline, bool whole) {
  m_answers.push_back(latency);
  if (latency <= deadline)
    ++m_in_time;
  if (!whole)
    ++m_wrong;
}

void FlowResult::AddFailure(const std::string& outcome, microseconds latency) {
  ++m_outcomes[outcome];
  ++m_failed;
  m_slowest_failure = std::max(m_slowest_failure, latency);
}

microseconds FlowResult::Percentile(double percent) const {
  if (m_answers.empty())
    return microseconds(0);
  const auto rank = static_cast<size_t>(percent / 100.0 * static_cast<double>(m_answers.size()));
  return m_answers[std::min(rank, m_answers.size() - 1)];
}

boost::json::object FlowResult::ToJson() {
  std::sort(m_answers.begin(), m_answers.end());
  boost::json::object outcomes;
  for (const auto& [name, count] : m_outcomes)
    outcomes[name] = count;
  return {{"sent", Sent()},
          {"answered", m_answers.size()},
          {"in_time", m_in_time},
          {"wrong_answers", m_wrong},
          {"failures", std::move(outcomes)},
          {"p50_us", Percentile(50).count()},
          {"p90_us", Percentile(90).count()},
          {"p99_us", Percentile(99).count()},
          {"p999_us", Percentile(99.9).count()},
          {"max_us", Percentile(100).count()},
          {"slowest_failure_us", m_slowest_failure.count()}};
}

}  // namespace sassafras
