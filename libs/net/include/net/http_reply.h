#pragma once

#include <string>

namespace sassafras {

/** A whole HTTP reply of a control request. */
struct HttpReply {
  int status = 0;
  std::string body;
};

}  // namespace sassafras
