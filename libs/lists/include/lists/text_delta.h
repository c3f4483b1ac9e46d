#pragma once

#include <cstdint>
#include <string>

namespace sassafras {

/** How to make one text from another: keep a part of its start and end, and replace what is between. */
struct TextDelta {
  uint32_t kept_start = 0;
  uint32_t kept_end = 0;
  std::string middle;
};

}  // namespace sassafras
