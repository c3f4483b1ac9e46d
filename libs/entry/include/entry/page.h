#pragma once

#include <string>

namespace sassafras {

/** An answer that an instance gives itself. */
struct Page {
  int status = 200;
  std::string content_type;
  std::string body;
};

}  // namespace sassafras
