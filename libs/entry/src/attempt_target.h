#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/handle.h"

namespace sassafras {

/** Endpoint and limits of one attempt. */
struct AttemptTarget {
  EndpointHandle endpoint;
  /** Name of the endpoint in the lists. */
  std::string name;
  std::string address;
  /** Incarnation of the endpoint that was known when the attempt was dispatched; 0 if unknown. */
  uint64_t incarnation = 0;
  TimePoint deadline;
  std::chrono::milliseconds connect_timeout{};
  /** Whether the response is recorded for later requests with the same idempotency key. */
  bool record_answer = false;
};

}  // namespace sassafras
