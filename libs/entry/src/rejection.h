#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "core/outcome.h"

namespace sassafras {

/** Content of an error response to a caller. */
struct Rejection {
  Reason reason = Reason::kBadRequest;
  /** HTTP status code that overrides the one of the reason; 0 for no override. */
  uint16_t status = 0;
  /** Text that overrides the remedy of the reason; empty for no override. */
  std::string remedy;
  /** URL for the Location header; empty for none. */
  std::string location;
  std::chrono::milliseconds retry_after{};
};

}  // namespace sassafras
