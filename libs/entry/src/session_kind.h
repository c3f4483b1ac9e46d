#pragma once

#include <cstdint>

namespace sassafras {

/** What is served on the connections of a listening address. */
enum class SessionKind : uint8_t {
  kCalls,
  kPages,
  kCallsAndPages,
};

}  // namespace sassafras
