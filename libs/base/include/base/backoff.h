#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace sassafras {

/**
 * Returns the delay before a call to the platform's store is retried: 200 ms, doubled with each failure up to 1.6 s.
 * @param earlier_failures  consecutive failures before the latest one
 */
inline std::chrono::milliseconds StoreRetryDelay(uint32_t earlier_failures) {
  constexpr std::chrono::milliseconds kFirstDelay{200};
  constexpr uint32_t kMaxDoublings = 3;
  return kFirstDelay * (1u << std::min(earlier_failures, kMaxDoublings));
}

}  // namespace sassafras
