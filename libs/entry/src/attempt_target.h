#pragma once

#include <chrono>
#include <string>

#include "base/clock.h"
#include "base/handle.h"

namespace sassafras {

/** Where and how one attempt goes. */
struct AttemptTarget {
  EndpointHandle endpoint;
  /** Name in the lists. */
  std::string name;
  std::string address;
  TimePoint deadline;
  std::chrono::milliseconds connect_timeout{};
  /** Whether the answer is kept for a later send of the same idempotency key. */
  bool keep_answer = false;
};

}  // namespace sassafras
