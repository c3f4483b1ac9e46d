#pragma once

#include <chrono>
#include <cstddef>

namespace sassafras {

/** Requests up to this size are held whole, so that they can be sent again. */
constexpr size_t kMaxHeldBody = 64u << 10u;
/** Time for writing an error answer. */
constexpr std::chrono::seconds kErrorWriteLimit{5};

}  // namespace sassafras
