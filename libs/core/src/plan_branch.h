#pragma once

#include <vector>

#include "base/handle.h"

namespace sassafras {

/** One of the services among which a plan's requests are divided. */
struct PlanBranch {
  ServiceHandle service;
  double weight = 1.0;
  /** Requests that this branch is owed, for smooth weighted round robin. */
  double credit = 0.0;
  /** Endpoints of this instance's subset that the plan may use. */
  std::vector<EndpointHandle> candidates;
};

}  // namespace sassafras
