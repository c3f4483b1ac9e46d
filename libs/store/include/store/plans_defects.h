#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace sassafras {

/** Parts of a plans document that could not be decoded, for the log. */
struct PlansDefects {
  size_t count = 0;
  /** Where the first few are, what stands in for them, and where it helps what to do. */
  std::string first;
  /** All of them, up to a limit, for the operators' tool. */
  std::vector<std::string> all;
};

}  // namespace sassafras
