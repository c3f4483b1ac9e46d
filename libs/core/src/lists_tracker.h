#pragma once

#include <cstdint>

#include "base/clock.h"

namespace sassafras {

/** What this instance knows of the generation of lists in force. */
struct ListsTracker {
  uint64_t generation = 0;
  /** Newest proof, seen here or by a peer, that the store held no higher generation. */
  TimePoint store_confirmed_at{};
  TimePoint last_poll{};
  TimePoint last_fetch{};
  TimePoint last_restore{};
  bool watching = false;
  /** After a pause calls wait until lists and news are confirmed, or this time has passed. */
  TimePoint revalidate_until{};
  /** Number in the question that peers were asked after the latest pause. */
  uint64_t asked = 0;
};

}  // namespace sassafras
