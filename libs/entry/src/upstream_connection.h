#pragma once

#include <cstddef>

#include "base/clock.h"
#include "http_types.h"

namespace sassafras {

/**
 * Most bytes read from an endpoint that are not parsed yet. The head of a response, the head of a chunk and trailers
 * are parsed only once they are complete, and an endpoint could send any of them without end.
 */
constexpr size_t kMaxUnparsedResponseBytes = 64u << 10u;

/** A connection to an endpoint and the buffer of bytes read from it but not yet parsed. */
struct UpstreamConnection {
  explicit UpstreamConnection(const asio::any_io_executor& executor) : stream(executor) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxUnparsedResponseBytes};
  bool connected = false;
  TimePoint idle_since{};
};

}  // namespace sassafras
