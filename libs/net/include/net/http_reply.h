#pragma once

#include <string>

#include <boost/beast/http/fields.hpp>

namespace sassafras {

/** Complete HTTP reply to a control request. */
struct HttpReply {
  int status = 0;
  std::string body;
  boost::beast::http::fields headers;
};

}  // namespace sassafras
