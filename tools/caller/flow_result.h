#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

namespace sassafras {

/** What happened to the calls of one flow. */
class FlowResult {
 public:
  /** Adds an answer with its latency from the intended start. */
  void AddAnswer(std::chrono::microseconds latency, std::chrono::milliseconds deadline, bool whole);
  /** Adds a call without an answer, by what the caller was told. */
  void AddFailure(const std::string& outcome, std::chrono::microseconds latency);

  /** Counts and percentiles, in microseconds. */
  boost::json::object ToJson();
  uint64_t Sent() const { return m_answers.size() + m_failed; }
  uint64_t Wrong() const { return m_wrong; }
  uint64_t Failed() const { return m_failed; }

 private:
  std::chrono::microseconds Percentile(double percent) const;

  std::vector<std::chrono::microseconds> m_answers;
  std::map<std::string, uint64_t> m_outcomes;
  uint64_t m_failed = 0;
  uint64_t m_in_time = 0;
  uint64_t m_wrong = 0;
  std::chrono::microseconds m_slowest_failure{0};
};

}  // namespace sassafras
