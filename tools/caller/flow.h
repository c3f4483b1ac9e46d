#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace sassafras {

/** A stream of similar requests that the caller tool sends. */
struct Flow {
  std::string name;
  std::string method = "GET";
  std::string path;
  /** Mean rate of calls per second outside the load peak. */
  double calls_per_second = 10;
  /**
   * Mean processing time of a request. The time of each request is half of the mean plus an exponentially distributed
   * time with the other half as its mean; with `fixed_work`, it is the mean.
   */
  std::chrono::microseconds mean_work{1'000};
  bool fixed_work = false;
  /** Share of requests that are stragglers, and the factor by which their processing time is longer. */
  double straggler_share = 0.0;
  double straggler_factor = 20.0;
  std::chrono::milliseconds deadline{2'000};
  int64_t answer_bytes = 256;
  int64_t request_bytes = 0;
  /** Whether requests carry an idempotency key. */
  bool has_idempotency_key = false;
  /** Share of calls whose first answer is treated as lost, so that the call is sent again if `max_sends` allows it. */
  double resend_share = 0.0;
  /** Whether the rate is multiplied by LoadOptions::peak_factor during the load peak. */
  bool has_peak = true;
  /** Fault that the upstream stand-in is to put into its answers (header X-Fault); empty for none. */
  std::string answer_fault;
};

/**
 * Parses "name=a,method=GET,path=/a,rate=100,work-us=2000,...".
 *
 * @return an error for an unknown key, which it names, and for a missing name or path or a rate of 0 or less
 */
absl::StatusOr<Flow> ParseFlow(std::string_view text);

}  // namespace sassafras
