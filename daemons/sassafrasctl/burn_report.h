#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "fleet.h"

namespace sassafras {

/** Service-level burn of every plan over all instances that answered. */
class BurnReport {
 public:
  explicit BurnReport(const std::vector<Fleet::Page>& pages);

  boost::json::object ToJson() const;
  std::string ToText() const;
  /** A page of its own, with a bar for each window. */
  std::string ToHtml() const;

 private:
  struct Counts {
    uint64_t good = 0;
    uint64_t slow = 0;
    uint64_t failed = 0;
    uint64_t not_run = 0;
    uint64_t unknown = 0;
    uint64_t Bad() const { return slow + failed + not_run + unknown; }
    uint64_t All() const { return good + Bad(); }
  };
  struct Row {
    std::string plan;
    double objective = 99.0;
    Counts short_window;
    Counts long_window;
  };

  void Add(const boost::json::object& page);
  Row& RowFor(const std::string& plan);
  static void AddCounts(const boost::json::object& from, Counts& to);
  /** Errors as a multiple of those the objective allows. */
  static double Rate(const Counts& counts, double objective);
  /** Part of the hour's error budget that is left, in percent; below 0 if overspent. */
  static double BudgetLeft(const Row& row);
  static std::string WorstOutcome(const Counts& counts);

  std::vector<Row> m_rows;
  std::vector<std::string> m_instances;
  std::vector<std::string> m_silent;
};

}  // namespace sassafras
