#pragma once

#include <cstddef>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace sassafras {

/**
 * Most bytes of a response that are read but not parsed yet. The head, the head of a chunk and trailers are parsed only
 * once they are complete, and the other side could send any of them without end.
 */
constexpr size_t kMaxUnparsedResponseBytes = 64u << 10u;

/** Parser of a response with any type of body. */
using ResponseParser = boost::beast::http::basic_parser<false>;

/**
 * Reads the head of a response, like http::async_read_header(), and refuses what that one accepts though the head may
 * mean something else to another reader: a line that begins with a blank (error bad_field). It is either the
 * continuation of the line before it or a field whose name begins with a blank.
 * Source: RFC 9112, section 5.2, which lets a gateway discard such a response.
 *
 * @param stream  its expiry limits the time of each read
 * @param buffer  holds bytes that were read but not parsed, before and after the call; its maximum size limits the head
 * @return error of the connection or of the parser; end_of_stream if the connection ended before the first byte
 */
boost::asio::awaitable<boost::beast::error_code> ReadResponseHead(boost::beast::tcp_stream& stream,
                                                                  boost::beast::flat_buffer& buffer,
                                                                  ResponseParser& parser);

}  // namespace sassafras
