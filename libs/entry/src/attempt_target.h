#pragma once

#include <chrono>
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
  TimePoint deadline;
  std::chrono::milliseconds connect_timeout{};
  /** Whether the response is recorded for later requests with the same idempotency key. */
  bool record_answer = false;
};

}  // namespace sassafras
