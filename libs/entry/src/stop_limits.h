#pragma once

#include <chrono>

namespace sassafras {

/**
 * How long a stopping process still takes calls that the platform kills after `kill_after`. The calls that come last
 * need the other half of that time to end.
 */
std::chrono::milliseconds LingerLimit(std::chrono::milliseconds kill_after);

/** How long a planned stop may take in all; `kill_after` is zero where nobody kills the process. */
std::chrono::milliseconds StopLimit(std::chrono::milliseconds kill_after, std::chrono::milliseconds stop_limit);

}  // namespace sassafras
