#pragma once

#include "base/clock.h"
#include "http_types.h"
#include "net/response_head.h"

namespace sassafras {

/** A connection to an endpoint and the buffer of bytes read from it but not yet parsed. */
struct UpstreamConnection {
  explicit UpstreamConnection(const asio::any_io_executor& executor) : stream(executor) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxUnparsedResponseBytes};
  bool connected = false;
  TimePoint idle_since{};
};

}  // namespace sassafras
