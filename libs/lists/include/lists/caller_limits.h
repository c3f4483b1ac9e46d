#pragma once

#include <chrono>
#include <cstdint>

namespace sassafras {

/** Limits on the size and duration of callers' requests. */
struct CallerLimits {
  /** Largest request head, in bytes. */
  uint32_t header_bytes = 16u << 10u;
  /** Largest request body, in bytes; 0 for no limit. */
  uint64_t body_bytes = 0;
  /** Time to receive a request head, from its first byte; also the longest wait for further bytes of a body. */
  std::chrono::milliseconds header_timeout{10'000};
  /** Time that a connection may stay open without a request. */
  std::chrono::milliseconds idle_timeout{90'000};
};

}  // namespace sassafras
