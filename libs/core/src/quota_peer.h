#pragma once

#include <cstdint>

#include "base/clock.h"

namespace sassafras {

/** A peer that was asked for tokens, or in whose place this instance was asked. */
struct QuotaPeer {
  uint64_t name_hash = 0;
  TimePoint heard_at{};
  TimePoint queried_at{};
  TimePoint passed_over_until{};
  /** Requests without a reply since the peer was last heard. */
  uint32_t unanswered = 0;
};

}  // namespace sassafras
