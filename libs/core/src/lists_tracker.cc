#include "lists_tracker.h"

namespace sassafras {

bool ListsTracker::IsNewerAnnounced(TimePoint now) const {
  // An announcement counts only for a time: if the store lost that generation, no instance announces it any more.
  return announced_generation > generation && now - announced_at < kMaxConfirmationAge;
}

bool ListsTracker::AreCurrent(TimePoint now) const {
  const bool confirmed = generation > 0 && now - store_confirmed_at < kMaxConfirmationAge;
  return confirmed && !lack_plans && !IsNewerAnnounced(now) && now >= revalidate_until && now >= unsettled_until;
}

}  // namespace sassafras
