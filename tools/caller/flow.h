#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace sassafras {

/** One sort of request that the caller tool sends. */
struct Flow {
  std::string name;
  std::string method = "GET";
  std::string path;
  /** Calls a second before swings. */
  double calls_per_second = 10;
  /** Mean work of a request; single requests spread exponentially around half of it, or are fixed. */
  std::chrono::microseconds mean_work{1'000};
  bool fixed_work = false;
  /** Share of requests that are stragglers, and how many times longer those run. */
  double straggler_share = 0.0;
  double straggler_factor = 20.0;
  std::chrono::milliseconds deadline{2'000};
  int64_t answer_bytes = 256;
  int64_t request_bytes = 0;
  /** Whether requests carry an idempotency key. */
  bool has_idempotency_key = false;
  /** Share of answers that the caller pretends to have lost; it then sends the request again. */
  double resend_share = 0.0;
  /** Whether swings apply to this flow. */
  bool has_peak = true;
  /** Answer fault to ask the stand-in for; empty for none. */
  std::string answer_fault;
};

/** Parses "name=a,method=GET,path=/a,rate=100,work-us=2000,..."; an error names the key. */
absl::StatusOr<Flow> ParseFlow(std::string_view text);

}  // namespace sassafras
