#pragma once

#include <cstdint>

#include "base/clock.h"

namespace sassafras {

/** State of the lists in use and of their confirmation. */
struct ListsTracker {
  uint64_t generation = 0;
  /** When this instance or a peer last confirmed that the store holds no higher generation. */
  TimePoint store_confirmed_at{};
  TimePoint last_poll{};
  TimePoint last_fetch{};
  TimePoint last_restore{};
  /** Whether this instance watches the store. */
  bool watching = false;
  /** After a pause, calls wait until a peer or the store confirms the lists, but not beyond this time. */
  TimePoint revalidate_until{};
  /** Id of the query sent to peers after the latest pause. */
  uint64_t revalidation_query = 0;
};

}  // namespace sassafras
