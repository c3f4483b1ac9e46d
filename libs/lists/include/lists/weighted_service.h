#pragma once

#include <cstdint>
#include <string>

namespace sassafras {

/** One of several services among which the requests of a plan are divided. */
struct WeightedService {
  std::string service;
  /** Weight of the service, relative to the weights of the plan's other services. */
  uint32_t weight = 1;
};

}  // namespace sassafras
