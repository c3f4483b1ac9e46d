#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sassafras {

/** Index of one counter in its registry. */
using CounterId = uint32_t;

/**
 * Registry of named counters and gauges. Not thread-safe. An update is one array write; names and labels are only
 * read when the registry is rendered.
 */
class Counters {
 public:
  /**
   * Registers a counter, or returns the id of an existing one with the same name and labels.
   * @param name    metric name in Prometheus form, such as `sassafras_calls_total`
   * @param labels  label pairs without braces, such as `plan="orders"`; may be empty
   */
  CounterId Register(std::string_view name, std::string_view labels = {});

  void Add(CounterId id, uint64_t amount = 1) { m_values[id] += amount; }
  void Set(CounterId id, uint64_t value) { m_values[id] = value; }
  uint64_t Value(CounterId id) const { return m_values[id]; }

  /** Renders all counters in the Prometheus text exposition format. */
  std::string RenderText() const;

 private:
  struct MetricName {
    std::string metric;
    std::string labels;
  };
  std::vector<MetricName> m_names;
  std::vector<uint64_t> m_values;
};

}  // namespace sassafras
