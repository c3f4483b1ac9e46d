#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace sassafras {

/** Options of an upstream stand-in. */
struct UpstreamOptions {
  std::string name;
  std::string listen;
  /** File for a line per run, end of a run, probe and refusal; empty for none. */
  std::string log_path;
  int64_t slots = 6;
  /** Limit of requests waiting for a slot; further requests are refused. */
  int64_t queue_limit = 64;
  std::chrono::microseconds probe_time{1'000};
  /** One-way network delay to the load balancer, added before each request is handled and before a run is answered. */
  std::chrono::microseconds one_way_delay{0};
  /** Mean time between noisy episodes (0: none), their duration, and the factor by which they slow down processing. */
  std::chrono::milliseconds mean_noise_interval{0};
  std::chrono::milliseconds noise_duration{40};
  double noise_factor = 5.0;
  /** Share of runs that are stragglers, chosen at random whatever the request, and how many times longer they take. */
  double straggler_share = 0.0;
  double straggler_factor = 20.0;
  /** Warm-up time after the start, in which processing is slower: by `cold_factor` at first, falling linearly to 1. */
  std::chrono::milliseconds cold_period{0};
  double cold_factor = 4.0;
  /** Minimum time between updates of the reported load, so that reports may be this old. */
  std::chrono::milliseconds report_lag{0};
  uint64_t seed = 1;
};

}  // namespace sassafras
