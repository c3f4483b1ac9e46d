#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/handle.h"

namespace sassafras {

struct PlanState;

/** Finds the plan of a request by host, method and path. */
class PlanIndex {
 public:
  void Rebuild(const std::vector<PlanState>& plans);
  /**
   * Returns the plan with the longest matching path prefix, or an invalid handle. Plans for the given host take
   * precedence over plans for any host.
   */
  PlanHandle Find(std::string_view host, std::string_view method, std::string_view path) const;

 private:
  struct Route {
    std::string prefix;
    std::string method;
    PlanHandle plan;
  };
  using Routes = std::vector<Route>;
  PlanHandle FindInRoutes(const Routes& routes, std::string_view method, std::string_view path) const;
  /** Routes of each host, longest prefix first; the empty host stands for any host. */
  absl::flat_hash_map<std::string, Routes> m_routes_by_host;
};

}  // namespace sassafras
