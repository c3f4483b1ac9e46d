#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace sassafras {

/** Largest request head, in bytes. */
constexpr uint32_t kMaxRequestHead = 16u << 10u;
/** Requests up to this size are held whole, so that they can be sent again. */
constexpr size_t kMaxHeldBody = 64u << 10u;
/** Time for a request head once its first byte has come, and for each piece of a body. */
constexpr std::chrono::seconds kSlowSenderLimit{10};
/** Time that a caller's connection may stay without a request. */
constexpr std::chrono::seconds kIdleCallerLimit{90};
/** Time for writing an error answer. */
constexpr std::chrono::seconds kErrorWriteLimit{5};

}  // namespace sassafras
