#pragma once

#include <chrono>

namespace sassafras {

/**
 * How long a stopping process keeps accepting calls if the platform kills it after `kill_after`. The rest of that
 * time is left for the last accepted calls to complete.
 */
std::chrono::milliseconds MaxServingTimeAfterStop(std::chrono::milliseconds kill_after);

/** Total time that a planned stop may take; a zero `kill_after` means that the platform never kills the process. */
std::chrono::milliseconds MaxStopDuration(std::chrono::milliseconds kill_after, std::chrono::milliseconds stop_limit);

}  // namespace sassafras
