#include "stop_limits.h"

#include <algorithm>

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/** Fraction of `kill_after`, the time until the platform kills a stopping process, in which it accepts new calls. */
constexpr double kLingerPart = 0.45;
/** Subtracted from `kill_after`, so that the process exits before it is killed. */
constexpr milliseconds kKillMargin{150};

}  // namespace

milliseconds LingerLimit(milliseconds kill_after) {
  return std::chrono::duration_cast<milliseconds>(kill_after * kLingerPart);
}

milliseconds StopLimit(milliseconds kill_after, milliseconds stop_limit) {
  if (kill_after == milliseconds::zero())
    return stop_limit;
  return std::min(stop_limit, std::max(kKillMargin, kill_after - kKillMargin));
}

}  // namespace sassafras
