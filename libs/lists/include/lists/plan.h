#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "lists/weighted_service.h"

namespace sassafras {

/** Whether a request of a plan may be run more than once. */
enum class Repeat { kSafe, kNever };

/** Expected amount of work of a request; decides which part of the slots it may take. */
enum class Work { kShort, kLong };

/** One row of `plans.toml`: what one customer's requests of one sort are promised. */
struct Plan {
  std::string name;
  std::string customer;
  /** Host that requests name; empty for any. */
  std::string host;
  /** Request method, or "*" for any. */
  std::string method;
  std::string path_prefix;
  Repeat repeat = Repeat::kNever;
  Work work = Work::kShort;
  std::chrono::microseconds deadline{};
  /** 0 is served first, 9 is shed first. */
  uint8_t priority = 5;
  /** Weight among customers while requests wait. */
  uint32_t share = 1;
  /** Service-level objective: answers within this latency. */
  std::chrono::microseconds objective_latency{};
  /** Service-level objective: share of good answers, in percent. */
  double objective_success = 99.0;
  /** Service whose endpoints the plan may use, from `upstreams.toml`; empty with a split. */
  std::string service;
  /** Services among which requests are divided by weight; empty if there is only one. */
  std::vector<WeightedService> split;
  /** Endpoints that one request may be sent to at most. */
  uint32_t max_attempts = 4;
  /** Endpoints the plan may use; empty for all of the service. */
  std::vector<std::string> endpoints;
};

}  // namespace sassafras
