#include "plan_index.h"

#include <algorithm>

#include <absl/strings/string_view.h>

#include "plan_state.h"

namespace sassafras {
namespace {

constexpr std::string_view kAnyMethod = "*";

}  // namespace

void PlanIndex::Rebuild(const std::vector<PlanState>& plans) {
  m_routes_by_host.clear();
  for (uint32_t index = 0; index < plans.size(); ++index) {
    const PlanState& plan = plans[index];
    if (plan.active)
      m_routes_by_host[plan.config.host].push_back({plan.config.path_prefix, plan.config.method, PlanHandle(index)});
  }
  for (auto& [host, routes] : m_routes_by_host) {
    // With equal prefixes, a plan for a specific method takes precedence over one for any method.
    std::stable_sort(routes.begin(), routes.end(), [](const Route& a, const Route& b) {
      if (a.prefix.size() != b.prefix.size())
        return a.prefix.size() > b.prefix.size();
      return a.method != kAnyMethod && b.method == kAnyMethod;
    });
  }
}

PlanHandle PlanIndex::FindInRoutes(const Routes& routes, std::string_view method, std::string_view path) const {
  const auto found = std::find_if(routes.begin(), routes.end(), [&](const Route& route) {
    return (route.method == kAnyMethod || route.method == method) && path.starts_with(route.prefix);
  });
  return found == routes.end() ? PlanHandle() : found->plan;
}

PlanHandle PlanIndex::Find(std::string_view host, std::string_view method, std::string_view path) const {
  for (const std::string_view key : {host, std::string_view()}) {
    const auto found = m_routes_by_host.find(absl::string_view(key.data(), key.size()));
    const PlanHandle plan = found == m_routes_by_host.end() ? PlanHandle() : FindInRoutes(found->second, method, path);
    if (plan.IsValid())
      return plan;
  }
  return {};
}

}  // namespace sassafras
