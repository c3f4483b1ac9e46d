#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace sassafras {

/** A complete answer, kept for a caller that sends the same idempotency key again. */
struct RecordedAnswer {
  uint16_t status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

}  // namespace sassafras
