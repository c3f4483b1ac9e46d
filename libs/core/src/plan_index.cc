#include "plan_index.h"

#include <algorithm>
#include <functional>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/string_view.h>

#include "plan_state.h"

namespace sassafras {
namespace {

constexpr std::string_view kAnyMethod = "*";

absl::string_view ToKey(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

PlanHandle PlanIndex::Methods::Find(std::string_view method) const {
  const auto found =
      std::find_if(specific.begin(), specific.end(), [&](const auto& entry) { return entry.first == method; });
  return found == specific.end() ? any : found->second;
}

void PlanIndex::Rebuild(const std::vector<PlanState>& plans) {
  m_routes_by_host.clear();
  for (uint32_t index = 0; index < plans.size(); ++index) {
    if (plans[index].active)
      Add(plans[index].config, PlanHandle(index));
  }
  for (auto& [host, routes] : m_routes_by_host)
    CollectLengths(routes);
}

void PlanIndex::Add(const Plan& plan, PlanHandle handle) {
  // Of plans for the same requests, the first is used.
  Methods& methods = m_routes_by_host[plan.host].by_prefix[plan.path_prefix];
  if (plan.method != kAnyMethod)
    methods.specific.emplace_back(plan.method, handle);
  else if (!methods.any.IsValid())
    methods.any = handle;
}

void PlanIndex::CollectLengths(Routes& routes) {
  absl::flat_hash_set<size_t> lengths;
  for (const auto& [prefix, methods] : routes.by_prefix)
    lengths.insert(prefix.size());
  routes.lengths.assign(lengths.begin(), lengths.end());
  std::sort(routes.lengths.begin(), routes.lengths.end(), std::greater<>());
}

PlanHandle PlanIndex::FindInRoutes(const Routes& routes, std::string_view method, std::string_view path) {
  for (const size_t length : routes.lengths) {
    if (length > path.size())
      continue;
    const auto found = routes.by_prefix.find(ToKey(path.substr(0, length)));
    const PlanHandle plan = found == routes.by_prefix.end() ? PlanHandle() : found->second.Find(method);
    if (plan.IsValid())
      return plan;
  }
  return {};
}

PlanHandle PlanIndex::Find(std::string_view host, std::string_view method, std::string_view path) const {
  for (const std::string_view key : {host, std::string_view()}) {
    const auto found = m_routes_by_host.find(ToKey(key));
    const PlanHandle plan = found == m_routes_by_host.end() ? PlanHandle() : FindInRoutes(found->second, method, path);
    if (plan.IsValid())
      return plan;
  }
  return {};
}

}  // namespace sassafras
