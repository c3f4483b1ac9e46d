#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "lists/lists.h"

namespace sassafras {
namespace {

/** Returns the limit in percent as operators write it; empty if it is not set. */
std::string DescribeHedgeLimit(const std::optional<double>& limit) {
  return limit.has_value() ? fmt::format(" hedge_limit={:g}", *limit * 100) : std::string();
}

std::string Describe(const Plan& plan) {
  return fmt::format(
      "customer={} method={} path={} repeat={} work={} deadline={}us priority={} share={} "
      "objective_latency={}us objective_success={} service={} endpoints=[{}]{}",
      plan.customer, plan.method, plan.path_prefix, plan.repeat == Repeat::kSafe ? "safe" : "never",
      plan.work == Work::kShort ? "short" : "long", plan.deadline.count(), plan.priority, plan.share,
      plan.objective_latency.count(), plan.objective_success, plan.service, fmt::join(plan.endpoints, ","),
      DescribeHedgeLimit(plan.hedge_limit));
}

std::string Describe(const Service& service) {
  return fmt::format("probe_budget={} probe_path={} long_share={}{}", service.probe_budget, service.probe_path,
                     service.long_share, DescribeHedgeLimit(service.hedge_limit));
}

std::string Describe(const Endpoint& endpoint) {
  return fmt::format("service={} address={} failure_domain={} slots={} connections={}", endpoint.service,
                     endpoint.address, endpoint.failure_domain, endpoint.slots, endpoint.connections);
}

template <typename Row>
std::map<std::string_view, std::string> DescribeAll(const std::vector<Row>& rows) {
  std::map<std::string_view, std::string> result;
  for (const Row& row : rows)
    result.emplace(row.name, Describe(row));
  return result;
}

template <typename Row>
void DiffRows(std::string_view kind,
              const std::vector<Row>& before,
              const std::vector<Row>& after,
              std::vector<std::string>& lines) {
  const auto old_rows = DescribeAll(before);
  const auto new_rows = DescribeAll(after);
  for (const auto& [name, text] : old_rows) {
    const auto found = new_rows.find(name);
    if (found == new_rows.end())
      lines.push_back(fmt::format("- {} {}: {}", kind, name, text));
    else if (found->second != text)
      lines.push_back(fmt::format("~ {} {}: {} -> {}", kind, name, text, found->second));
  }
  for (const auto& [name, text] : new_rows) {
    if (!old_rows.contains(name))
      lines.push_back(fmt::format("+ {} {}: {}", kind, name, text));
  }
}

}  // namespace

std::vector<std::string> DiffLists(const Lists& before, const Lists& after) {
  std::vector<std::string> lines;
  DiffRows("plan", before.plans, after.plans, lines);
  DiffRows("service", before.services, after.services, lines);
  DiffRows("endpoint", before.endpoints, after.endpoints, lines);
  return lines;
}

}  // namespace sassafras
