#include "stop_limits.h"

#include <algorithm>

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/** Part of the time before the platform kills a stopping process in which it still takes calls. */
constexpr double kLingerPart = 0.45;
/** Time kept back from it, so that the process ends by itself. */
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
