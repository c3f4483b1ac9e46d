#pragma once

#include <cstdint>
#include <string>

namespace sassafras {

/** Edit of a text: keeps a prefix and a suffix of it and replaces what is between them by `middle`. */
struct TextDelta {
  uint32_t kept_prefix_bytes = 0;
  uint32_t kept_suffix_bytes = 0;
  std::string middle;
};

}  // namespace sassafras
