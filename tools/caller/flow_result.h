#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

namespace sassafras {

/** Latencies and outcomes of the calls of one flow. */
class FlowResult {
 public:
  /** Adds an answered call. The latency is measured from the scheduled start of the call. */
  void AddAnswer(std::chrono::microseconds latency, std::chrono::milliseconds deadline, bool correct);
  /** Adds a call without an answer. The outcome is the error that the caller received or detected. */
  void AddFailure(const std::string& outcome, std::chrono::microseconds latency);

  /** Returns counts of calls, and percentiles of the answers' latency in microseconds. Sorts the latencies. */
  boost::json::object ToJson();
  uint64_t CallCount() const { return m_answer_latencies.size() + m_failure_count; }
  uint64_t WrongAnswerCount() const { return m_wrong_count; }
  uint64_t FailureCount() const { return m_failure_count; }

 private:
  std::chrono::microseconds Percentile(double percent) const;

  std::vector<std::chrono::microseconds> m_answer_latencies;
  std::map<std::string, uint64_t> m_failures_by_outcome;
  uint64_t m_failure_count = 0;
  uint64_t m_in_time_count = 0;
  uint64_t m_wrong_count = 0;
  std::chrono::microseconds m_slowest_failure{0};
};

}  // namespace sassafras
