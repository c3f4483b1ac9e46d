#pragma once

#include <string>

namespace sassafras {

/** Response that the instance generates itself instead of relaying it from an endpoint. */
struct Page {
  int status = 200;
  std::string content_type;
  std::string body;
};

}  // namespace sassafras
