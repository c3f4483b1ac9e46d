#pragma once

#include <string>

namespace sassafras {

/** One of several services among which the requests of a plan are divided. */
struct WeightedService {
  std::string service;
  /** Weight of the service, finite and above 0, relative to the weights of the plan's other services. */
  double weight = 1.0;
};

}  // namespace sassafras
