#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "flow.h"

namespace sassafras {

/** What the caller tool is to send. */
struct LoadOptions {
  std::vector<std::string> entry_addresses;
  /** Send to the entries themselves instead of asking them for addresses. */
  bool direct = false;
  std::vector<Flow> flows;
  std::chrono::milliseconds measurement_time{5'000};
  /** Calls are sent but not counted for this long at first. */
  std::chrono::milliseconds warmup{500};
  /** Rates are multiplied by this from a third to two thirds of the time. */
  double peak_factor = 1.0;
  uint64_t seed = 1;
  std::string log_path;
  /** Sends of one call at most, when the caller was told that it was not run or its answer was lost. */
  int64_t max_sends = 1;
};

}  // namespace sassafras
