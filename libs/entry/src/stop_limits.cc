#include "stop_limits.h"

#include <algorithm>

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/** Fraction of the time of a planned stop in which a stopping process accepts new calls. */
constexpr double kServingFraction = 0.45;
/** Subtracted from `kill_after`, so that the process exits before it is killed. */
constexpr milliseconds kKillMargin{150};

}  // namespace

milliseconds MaxServingTimeAfterStop(milliseconds kill_after, milliseconds stop_limit) {
  const milliseconds total = kill_after == milliseconds::zero() ? stop_limit : std::min(kill_after, stop_limit);
  return std::chrono::duration_cast<milliseconds>(total * kServingFraction);
}

milliseconds MaxStopDuration(milliseconds kill_after, milliseconds stop_limit) {
  if (kill_after == milliseconds::zero())
    return stop_limit;
  return std::min(stop_limit, std::max(kKillMargin, kill_after - kKillMargin));
}

}  // namespace sassafras
