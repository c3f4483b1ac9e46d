#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lists/weighted_service.h"

namespace sassafras {

/** Whether a request of a plan may be executed more than once. */
enum class Repeat { kSafe, kNever };

/** Expected amount of work of a request; decides which share of an endpoint's slots it may take. */
enum class Work { kShort, kLong };

/**
 * Routing, deadline and objectives of one kind of requests of one customer, from a `[[plan]]` row of `plans.toml` or a
 * route in the platform's store.
 */
struct Plan {
  std::string name;
  std::string customer;
  /** Host header that requests must have; empty for any. */
  std::string host;
  /** Request method, or "*" for any. */
  std::string method;
  std::string path_prefix;
  Repeat repeat = Repeat::kNever;
  Work work = Work::kShort;
  std::chrono::microseconds deadline{};
  /** From 0, which is served first, to 9, which is shed first. */
  uint8_t priority = 5;
  /** Weight of the customer in fair queueing while requests wait. */
  uint32_t share = 1;
  /** Service-level objective: latency within which a good answer arrives. */
  std::chrono::microseconds objective_latency{};
  /** Service-level objective: share of good answers, in percent. */
  double objective_success = 99.0;
  /** Service in `upstreams.toml` whose endpoints the plan uses; empty if `split` is used. */
  std::string service;
  /** Services among which requests are divided by weight; empty if `service` is used. */
  std::vector<WeightedService> split;
  /** Most endpoints that one request may be sent to. */
  uint32_t max_attempts = 4;
  /** Names of the endpoints that the plan may use; empty for all endpoints of the service. */
  std::vector<std::string> endpoints;
  /** Whether requests need no API key although there are client accounts. */
  bool is_public = false;
  /** Hedges per call that the plan may make, from 0 to 1; not set: the limit of the service. */
  std::optional<double> hedge_limit;
};

}  // namespace sassafras
