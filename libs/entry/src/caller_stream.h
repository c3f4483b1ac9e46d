#pragma once

#include "http_types.h"

namespace sassafras {

/** One caller's connection with the bytes read ahead on it. */
struct CallerStream {
  explicit CallerStream(asio::ip::tcp::socket socket) : stream(std::move(socket)) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  /** Whether writing failed or the caller closed; nothing more is written then. */
  bool gone = false;
};

}  // namespace sassafras
