#pragma once

#include <chrono>
#include <cstdint>

#include "base/clock.h"

namespace sassafras {

/** State of the lists in use and of their confirmation. */
struct ListsTracker {
  /** Age of the last confirmation beyond which the lists may be outdated. */
  static constexpr std::chrono::seconds kMaxConfirmationAge{6};

  /**
   * Whether the lists may be taken for the latest ones, and whole: confirmed lately, no peer announces a newer
   * generation, and no plan is missing. What they lack is not known to be wrong otherwise.
   */
  bool AreCurrent(TimePoint now) const;

  /** Whether a peer has lately announced a generation above that of the lists in use. */
  bool IsNewerAnnounced(TimePoint now) const;

  uint64_t generation = 0;
  /** Whether the lists lack a plan that could not be decoded. */
  bool lack_plans = false;
  /** Whether the lists lack an account, or an API key of one, that could not be decoded. */
  bool lack_accounts = false;
  /** Highest generation that a peer has announced, and when a peer last announced it. */
  uint64_t announced_generation = 0;
  TimePoint announced_at{};
  /** When this instance or a peer last confirmed that the store holds no higher generation. */
  TimePoint store_confirmed_at{};
  TimePoint last_poll{};
  TimePoint last_fetch{};
  TimePoint last_restore{};
  /** Whether this instance watches the store. */
  bool watching = false;
  /** After a pause, calls wait until a peer or the store confirms the lists, but not beyond this time. */
  TimePoint revalidate_until{};
  /** Until when a store that was restored may lack lists that it had acknowledged. */
  TimePoint unsettled_until{};
  /** Id of the query sent to peers after the latest pause. */
  uint64_t revalidation_query = 0;
};

}  // namespace sassafras
