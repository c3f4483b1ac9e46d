#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace sassafras {

/** How a stand-in endpoint behaves. */
struct UpstreamOptions {
  std::string name;
  std::string listen;
  /** File that gets a line for each run and probe; empty for none. */
  std::string log_path;
  int64_t slots = 6;
  /** Requests that wait for a slot; more are refused. */
  int64_t queue_limit = 64;
  std::chrono::microseconds probe_time{1'000};
  /** One-way delay to the entry instances, added before and after each request. */
  std::chrono::microseconds one_way_delay{0};
  /** Mean time between noisy episodes (0: none), their length, and how much slower work is in them. */
  std::chrono::milliseconds mean_noise_interval{0};
  std::chrono::milliseconds noise_duration{40};
  double noise_factor = 5.0;
  /** Share of runs that take longer by chance, whatever the request, and how many times longer. */
  double straggler_share = 0.0;
  double straggler_factor = 20.0;
  /** Work is slower by up to this factor for this long after the start. */
  std::chrono::milliseconds cold_period{0};
  double cold_factor = 4.0;
  /** Age of the load that is reported. */
  std::chrono::milliseconds report_lag{0};
  uint64_t seed = 1;
};

}  // namespace sassafras
