#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "flow.h"

namespace sassafras {

/** Options of the load generator. */
struct LoadOptions {
  /** IP:port of the instances to fetch addresses from. */
  std::vector<std::string> entry_addresses;
  /** Whether calls are sent to `entry_addresses` without fetching other addresses from them. */
  bool direct = false;
  std::vector<Flow> flows;
  std::chrono::milliseconds measurement_time{5'000};
  /** Time at the start in which calls are sent but not counted. */
  std::chrono::milliseconds warmup{500};
  /** Factor of the rates in the middle third of `measurement_time`. */
  double peak_factor = 1.0;
  uint64_t seed = 1;
  std::string log_path;
  /** Limit of sends per call; any outcome but an answer leads to another send. Followed redirects do not count. */
  int64_t max_sends = 1;
};

}  // namespace sassafras
