#pragma once

#include "base/clock.h"
#include "http_types.h"

namespace sassafras {

/** One connection to an endpoint with the bytes read ahead on it. */
struct UpstreamConnection {
  explicit UpstreamConnection(const asio::any_io_executor& executor) : stream(executor) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  bool connected = false;
  TimePoint idle_since{};
};

}  // namespace sassafras
