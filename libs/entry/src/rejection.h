#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "core/outcome.h"

namespace sassafras {

/** An error answer to a caller. */
struct Rejection {
  Reason reason = Reason::kBadRequest;
  /** Status code in place of the usual one of the reason; 0 for the usual one. */
  uint16_t status = 0;
  /** Remedy in place of the usual one. */
  std::string detail;
  /** Where the caller is sent instead. */
  std::string location;
  std::chrono::milliseconds retry_after{};
};

}  // namespace sassafras
