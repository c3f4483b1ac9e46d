#pragma once

#include "http_types.h"

namespace sassafras {

/** A caller connection and the buffer of bytes read from it but not yet parsed. */
struct CallerStream {
  explicit CallerStream(asio::ip::tcp::socket socket) : stream(std::move(socket)) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  /** Whether a write failed or the caller closed the connection; nothing more is written then. */
  bool disconnected = false;
};

}  // namespace sassafras
