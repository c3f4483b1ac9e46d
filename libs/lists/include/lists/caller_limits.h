#pragma once

#include <chrono>
#include <cstdint>

namespace sassafras {

/** What callers may send, and how long they may take. */
struct CallerLimits {
  /** Largest request head, in bytes. */
  uint32_t header_bytes = 16u << 10u;
  /** Largest request body, in bytes; 0 for any. */
  uint64_t body_bytes = 0;
  /** Time for a request head once its first byte has come, and for each piece of a body. */
  std::chrono::milliseconds header_timeout{10'000};
  /** Time that a connection may stay without a request. */
  std::chrono::milliseconds idle_timeout{90'000};
};

}  // namespace sassafras
