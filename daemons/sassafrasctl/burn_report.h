#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "fleet.h"

namespace sassafras {

/** Error budget burn of each plan, summed over all instances that answered. */
class BurnReport {
 public:
  explicit BurnReport(const std::vector<Fleet::Page>& pages);

  boost::json::object ToJson() const;
  std::string ToText() const;
  /** A complete HTML page, with a bar for the one-hour burn rate of each plan. */
  std::string ToHtml() const;

 private:
  struct Counts {
    uint64_t good = 0;
    uint64_t slow = 0;
    uint64_t failed = 0;
    uint64_t not_run = 0;
    uint64_t unknown = 0;
    uint64_t Bad() const { return slow + failed + not_run + unknown; }
    uint64_t Total() const { return good + Bad(); }
  };
  struct Row {
    std::string plan;
    double objective = 99.0;
    Counts short_window;
    Counts long_window;
  };

  void AddPage(const boost::json::object& page);
  Row& FindOrAddRow(const std::string& plan);
  static void AddCounts(const boost::json::object& from, Counts& to);
  /** Rate of bad calls as a multiple of the rate that the objective allows. */
  static double BurnRate(const Counts& counts, double objective);
  /** Remaining part of the error budget of the last hour, in percent; below 0 if overspent. */
  static double BudgetLeftPercent(const Row& row);
  static std::string MostFrequentBadOutcome(const Counts& counts);

  std::vector<Row> m_rows;
  std::vector<std::string> m_instances;
  std::vector<std::string> m_unreachable;
};

}  // namespace sassafras
