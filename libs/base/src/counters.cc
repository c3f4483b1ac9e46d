#include "base/counters.h"

#include <iterator>

#include <fmt/format.h>

namespace sassafras {

CounterId Counters::Register(std::string_view name, std::string_view labels) {
  for (size_t i = 0; i < m_names.size(); ++i) {
    if (m_names[i].metric == name && m_names[i].labels == labels)
      return static_cast<CounterId>(i);
  }
  m_names.push_back({std::string(name), std::string(labels)});
  m_values.push_back(0);
  return static_cast<CounterId>(m_names.size() - 1);
}

std::string Counters::RenderText() const {
  std::string text;
  for (size_t i = 0; i < m_names.size(); ++i) {
    const MetricName& name = m_names[i];
    if (name.labels.empty()) {
      fmt::format_to(std::back_inserter(text), "{} {}\n", name.metric, m_values[i]);
      continue;
    }
    fmt::format_to(std::back_inserter(text), "{}{{{}}} {}\n", name.metric, name.labels, m_values[i]);
  }
  return text;
}

}  // namespace sassafras
