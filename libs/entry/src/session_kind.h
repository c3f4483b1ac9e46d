#pragma once

#include <cstdint>

namespace sassafras {

/** What a listening address serves. */
enum class SessionKind : uint8_t {
  kCalls,
  kPages,
  kCallsAndPages,
};

}  // namespace sassafras
