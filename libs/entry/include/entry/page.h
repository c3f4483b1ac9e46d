#pragma once

#include <string>

namespace sassafras {

/** Status, content type and body of a response to an administrative request or to a peer. */
struct Page {
  int status = 200;
  std::string content_type;
  std::string body;
};

}  // namespace sassafras
