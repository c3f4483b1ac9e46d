#include "burn_report.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include <boost/json.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace sassafras {

namespace json = boost::json;

BurnReport::BurnReport(const std::vector<Fleet::Page>& pages) {
  for (const Fleet::Page& page : pages) {
    if (page.ok)
      AddPage(page.body);
    else
      m_unreachable.push_back(page.address);
  }
}

void BurnReport::AddCounts(const json::object& from, Counts& to) {
  to.good += from.at("good").to_number<uint64_t>();
  to.slow += from.at("slow").to_number<uint64_t>();
  to.failed += from.at("failed").to_number<uint64_t>();
  to.not_run += from.at("not_run").to_number<uint64_t>();
  to.unknown += from.at("unknown").to_number<uint64_t>();
}

BurnReport::Row& BurnReport::FindOrAddRow(const std::string& plan) {
  const auto found = std::find_if(m_rows.begin(), m_rows.end(), [&](const Row& row) { return row.plan == plan; });
  if (found != m_rows.end())
    return *found;
  m_rows.emplace_back();
  m_rows.back().plan = plan;
  return m_rows.back();
}

void BurnReport::AddPage(const json::object& page) {
  m_instances.push_back(fmt::format("{} ({})", std::string(page.at("instance").as_string()),
                                    std::string(page.at("incarnation").as_string())));
  for (const json::value& item : page.at("plans").as_array()) {
    const json::object& plan = item.as_object();
    Row& row = FindOrAddRow(std::string(plan.at("plan").as_string()));
    row.objective = plan.at("objective_success").to_number<double>();
    AddCounts(plan.at("last_5m").as_object(), row.short_window);
    AddCounts(plan.at("last_1h").as_object(), row.long_window);
  }
}

double BurnReport::BurnRate(const Counts& counts, double objective) {
  if (counts.Total() == 0)
    return 0.0;
  const double allowed = (100.0 - objective) / 100.0;
  return static_cast<double>(counts.Bad()) / static_cast<double>(counts.Total()) / allowed;
}

double BurnReport::BudgetLeftPercent(const Row& row) {
  return 100.0 * (1.0 - BurnRate(row.long_window, row.objective));
}

std::string BurnReport::MostFrequentBadOutcome(const Counts& counts) {
  const std::array<std::pair<uint64_t, std::string>, 4> outcomes = {
      {{counts.slow, "slow"}, {counts.failed, "failed"}, {counts.not_run, "not_run"}, {counts.unknown, "unknown"}}};
  const auto worst = std::max_element(outcomes.begin(), outcomes.end(),
                                      [](const auto& a, const auto& b) { return a.first < b.first; });
  return worst->first == 0 ? "-" : worst->second;
}

json::object BurnReport::ToJson() const {
  json::array plans;
  for (const Row& row : m_rows) {
    plans.push_back(json::object{{"plan", row.plan},
                                 {"objective_success", row.objective},
                                 {"calls_1h", row.long_window.Total()},
                                 {"bad_1h", row.long_window.Bad()},
                                 {"burn_5m", BurnRate(row.short_window, row.objective)},
                                 {"burn_1h", BurnRate(row.long_window, row.objective)},
                                 {"budget_left_percent", BudgetLeftPercent(row)},
                                 {"burnt_by", MostFrequentBadOutcome(row.long_window)}});
  }
  return {{"instances", json::value_from(m_instances)},
          {"silent", json::value_from(m_unreachable)},
          {"plans", std::move(plans)}};
}

std::string BurnReport::ToText() const {
  std::string text = fmt::format("{:<20} {:>9} {:>10} {:>8} {:>8} {:>8} {:>8}  {}\n", "plan", "objective", "calls 1h",
                                 "bad 1h", "burn 5m", "burn 1h", "left %", "burnt by");
  for (const Row& row : m_rows) {
    fmt::format_to(std::back_inserter(text), "{:<20} {:>8}% {:>10} {:>8} {:>8.2f} {:>8.2f} {:>8.1f}  {}\n", row.plan,
                   row.objective, row.long_window.Total(), row.long_window.Bad(),
                   BurnRate(row.short_window, row.objective), BurnRate(row.long_window, row.objective),
                   BudgetLeftPercent(row), MostFrequentBadOutcome(row.long_window));
  }
  fmt::format_to(std::back_inserter(text), "counted since each instance's start, at most one hour: {}\n",
                 fmt::join(m_instances, ", "));
  if (!m_unreachable.empty())
    fmt::format_to(std::back_inserter(text), "not counted, no answer: {}\n", fmt::join(m_unreachable, ", "));
  return text;
}

std::string BurnReport::ToHtml() const {
  constexpr double kBarPixelsPerBurnRate = 60.0;
  constexpr double kMaxBarPixels = 480.0;
  std::string rows;
  for (const Row& row : m_rows) {
    const double rate = BurnRate(row.long_window, row.objective);
    fmt::format_to(std::back_inserter(rows),
                   "<tr><td>{}</td><td>{}%</td><td>{}</td><td>{}</td><td>{:.2f}</td><td>{:.2f}</td><td>{:.1f}%</td>"
                   "<td>{}</td><td><svg width='480' height='14'><rect width='{:.0f}' height='14' fill='{}'/></svg>"
                   "</td></tr>\n",
                   row.plan, row.objective, row.long_window.Total(), row.long_window.Bad(),
                   BurnRate(row.short_window, row.objective), rate, BudgetLeftPercent(row),
                   MostFrequentBadOutcome(row.long_window), std::min(kMaxBarPixels, rate * kBarPixelsPerBurnRate),
                   rate > 1.0 ? "#b3261e" : "#2e7d32");
  }
  return fmt::format(
      "<!doctype html><html><head><meta charset='utf-8'><title>Service-level burn</title><style>"
      "body{{font-family:sans-serif;margin:2em}}td,th{{padding:.3em .8em;text-align:right}}"
      "td:first-child,th:first-child{{text-align:left}}</style></head><body><h1>Service-level burn</h1>"
      "<p>A burn rate of 1 spends exactly the error budget.</p>"
      "<table><tr><th>plan</th><th>objective</th><th>calls 1h</th><th>bad 1h</th><th>burn 5m</th><th>burn 1h</th>"
      "<th>budget left</th><th>burnt by</th><th>burn 1h</th></tr>\n{}</table><p>Counted: {}</p>{}</body></html>\n",
      rows, fmt::join(m_instances, ", "),
      m_unreachable.empty() ? "" : fmt::format("<p>No answer: {}</p>", fmt::join(m_unreachable, ", ")));
}

}  // namespace sassafras
