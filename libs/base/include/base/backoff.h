#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace sassafras {

/**
 * Pause before a call to the platform's store is tried again: 200 ms, doubled with each failure, 1.6 s at most.
 * @param failures  failures in a row before the latest one
 */
inline std::chrono::milliseconds StorePauseAfter(uint32_t failures) {
  constexpr std::chrono::milliseconds kFirst{200};
  constexpr uint32_t kMaxShift = 3;
  return kFirst * (1u << std::min(failures, kMaxShift));
}

}  // namespace sassafras
