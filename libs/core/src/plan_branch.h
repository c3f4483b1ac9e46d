#pragma once

#include <vector>

#include "base/handle.h"

namespace sassafras {

/** One of the services between which the requests of a plan are divided. */
struct PlanBranch {
  ServiceHandle service;
  double weight = 1.0;
  /** Current weight in smooth weighted round robin; the branch with the highest one is chosen next. */
  double credit = 0.0;
  /** Endpoints of the service that this instance may use for the plan; unused if HasCommonCandidates(). */
  std::vector<EndpointHandle> own_candidates;
};

}  // namespace sassafras
