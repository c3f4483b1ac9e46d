#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/handle.h"

namespace sassafras {

struct Plan;
struct PlanState;

/** Finds the plan of a request by host, method and path. */
class PlanIndex {
 public:
  void Rebuild(const std::vector<PlanState>& plans);
  /**
   * Returns the plan with the longest matching path prefix, or an invalid handle. Plans for the given host take
   * precedence over plans for any host. Takes one look-up for each length of a prefix that the host's plans have.
   */
  PlanHandle Find(std::string_view host, std::string_view method, std::string_view path) const;

 private:
  /** Plans with the same host and path prefix. */
  struct Methods {
    PlanHandle any;
    std::vector<std::pair<std::string, PlanHandle>> specific;

    /** Returns the plan for the method, else the one for any method. */
    PlanHandle Find(std::string_view method) const;
  };
  struct Routes {
    absl::flat_hash_map<std::string, Methods> by_prefix;
    /** Lengths of the prefixes, longest first. */
    std::vector<size_t> lengths;
  };

  void Add(const Plan& plan, PlanHandle handle);
  static void CollectLengths(Routes& routes);
  static PlanHandle FindInRoutes(const Routes& routes, std::string_view method, std::string_view path);

  /** Routes of each host; the empty host stands for any host. */
  absl::flat_hash_map<std::string, Routes> m_routes_by_host;
};

}  // namespace sassafras
