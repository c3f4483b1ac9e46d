#pragma once

#include <cstdint>

#include "base/clock.h"

namespace sassafras {

/** State of the checks on the instances that watch the store for this one. */
struct WatcherState {
  /** Id of the query that waits for a reply; 0 for none. */
  uint64_t pending_query = 0;
  TimePoint query_sent_at{};
  /** The same as BootTime(). */
  TimePoint query_sent_boot_time{};
  TimePoint last_reply_at{};
  TimePoint next_query_at{};
  /** Consecutive queries without a reply. */
  uint32_t missed_replies = 0;
};

}  // namespace sassafras
