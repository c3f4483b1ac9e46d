#pragma once

#include <cstddef>

#include "http_types.h"

namespace sassafras {

/**
 * Most bytes read from a caller that are not parsed yet, and so the longest request head, whatever the operators allow.
 * The head of a chunk and trailers are parsed only once they are complete, and a caller could send them without end.
 */
constexpr size_t kMaxUnparsedRequestBytes = 1u << 20u;

/** A caller connection and the buffer of bytes read from it but not yet parsed. */
struct CallerStream {
  explicit CallerStream(asio::ip::tcp::socket socket) : stream(std::move(socket)) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxUnparsedRequestBytes};
  /** Whether a write failed or the caller closed the connection; nothing more is written then. */
  bool disconnected = false;
};

}  // namespace sassafras
