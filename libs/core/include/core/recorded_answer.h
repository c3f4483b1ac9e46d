#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace sassafras {

/** A complete answer, stored to be returned again when a caller repeats the idempotency key. */
struct RecordedAnswer {
  uint16_t status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

}  // namespace sassafras
