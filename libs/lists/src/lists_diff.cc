#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "lists/lists.h"

namespace sassafras {
namespace {

std::string DescribeSplit(const Plan& plan) {
  std::vector<std::string> parts;
  for (const WeightedService& part : plan.split)
    parts.push_back(fmt::format("{}:{}", part.service, part.weight));
  return fmt::format("{}", fmt::join(parts, ","));
}

/** Returns the limit in percent as operators write it; empty if it is not set. */
std::string DescribeHedgeLimit(const std::optional<double>& limit) {
  return limit.has_value() ? fmt::format(" hedge_limit={:g}", *limit * 100) : std::string();
}

std::string Describe(const Plan& plan) {
  return fmt::format(
      "customer={} host={} method={} path={} repeat={} work={} deadline={}us priority={} share={} "
      "objective_latency={}us objective_success={} service={} split=[{}] max_attempts={} public={} endpoints=[{}]{}",
      plan.customer, plan.host, plan.method, plan.path_prefix, plan.repeat == Repeat::kSafe ? "safe" : "never",
      plan.work == Work::kShort ? "short" : "long", plan.deadline.count(), plan.priority, plan.share,
      plan.objective_latency.count(), plan.objective_success, plan.service, DescribeSplit(plan), plan.max_attempts,
      plan.is_public, fmt::join(plan.endpoints, ","), DescribeHedgeLimit(plan.hedge_limit));
}

std::string Describe(const Service& service) {
  return fmt::format("probe_budget={} probe_path={} connections={} long_share={} warmup_rate={} warmup_duration={}ms{}",
                     service.probe_budget, service.probe_path, service.connections, service.long_share,
                     service.warmup_rate, service.warmup_duration.count(), DescribeHedgeLimit(service.hedge_limit));
}

/** API keys are secrets: of them only the number is told. */
std::string Describe(const Account& account) {
  return fmt::format("priority={} rate={} burst={} keys={}",
                     account.has_priority ? std::to_string(account.priority) : "none", account.rate_per_second,
                     account.burst, account.keys.size());
}

std::string Describe(const CallerLimits& limits) {
  return fmt::format("header_bytes={} body_bytes={} header_timeout={}ms idle_timeout={}ms", limits.header_bytes,
                     limits.body_bytes, limits.header_timeout.count(), limits.idle_timeout.count());
}

/** Tells how many keys of each account were added and removed, since their total may stay the same. */
void DiffKeys(const std::vector<Account>& before, const std::vector<Account>& after, std::vector<std::string>& lines) {
  for (const Account& account : after) {
    const auto found = std::find_if(before.begin(), before.end(),
                                    [&](const Account& candidate) { return candidate.name == account.name; });
    if (found == before.end())
      continue;
    const std::set<std::string_view> old_keys(found->keys.begin(), found->keys.end());
    const std::set<std::string_view> new_keys(account.keys.begin(), account.keys.end());
    const auto count_missing = [](const auto& keys, const auto& others) {
      return std::count_if(keys.begin(), keys.end(), [&](std::string_view key) { return !others.contains(key); });
    };
    const auto added = count_missing(new_keys, old_keys);
    const auto removed = count_missing(old_keys, new_keys);
    if (added > 0 || removed > 0)
      lines.push_back(fmt::format("~ account {}: keys added: {}, removed: {}", account.name, added, removed));
  }
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
  DiffRows("account", before.accounts, after.accounts, lines);
  DiffKeys(before.accounts, after.accounts, lines);
  const std::string old_limits = Describe(before.limits);
  const std::string new_limits = Describe(after.limits);
  if (old_limits != new_limits)
    lines.push_back(fmt::format("~ limits: {} -> {}", old_limits, new_limits));
  return lines;
}

}  // namespace sassafras
