#pragma once

#include <string>

namespace sassafras {

/** Complete HTTP reply to a control request. */
struct HttpReply {
  int status = 0;
  std::string body;
};

}  // namespace sassafras
