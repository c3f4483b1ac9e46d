#pragma once

#include <chrono>

namespace sassafras {

/**
 * How long a stopping process keeps accepting calls. The rest of the planned stop is left for the last accepted calls
 * to complete.
 * @param kill_after  time after which the platform kills the process; zero if it never does
 * @param stop_limit  time after which the process cuts calls and ends by itself
 */
std::chrono::milliseconds MaxServingTimeAfterStop(std::chrono::milliseconds kill_after,
                                                  std::chrono::milliseconds stop_limit);

/** Total time that a planned stop may take; a zero `kill_after` means that the platform never kills the process. */
std::chrono::milliseconds MaxStopDuration(std::chrono::milliseconds kill_after, std::chrono::milliseconds stop_limit);

}  // namespace sassafras
