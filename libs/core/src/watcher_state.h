#pragma once

#include <cstdint>

#include "base/clock.h"

namespace sassafras {

/** What this instance knows of those that watch the store for it. */
struct WatcherState {
  /** Number in the question that waits for an answer; 0 for none. */
  uint64_t asked = 0;
  TimePoint asked_at{};
  TimePoint next_question{};
  /** Questions in a row without an answer. */
  uint32_t missed = 0;
};

}  // namespace sassafras
