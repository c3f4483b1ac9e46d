#pragma once

#include <cstdint>
#include <string>

namespace sassafras {

/** One service of a plan whose requests are divided among several. */
struct WeightedService {
  std::string service;
  /** Share of the requests, relative to the weights of the plan's other services. */
  uint32_t weight = 1;
};

}  // namespace sassafras
