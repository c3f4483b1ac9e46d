#include "net/response_head.h"

#include <string_view>

#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

namespace sassafras {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using beast::error_code;

/** Most bytes of one read. */
constexpr size_t kMaxReadBytes = 16u << 10u;

/** Whether a line of `head`, which the parser has just consumed, continues the line before it. */
bool HasContinuationLine(std::string_view head) {
  return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

/** Parses the bytes in `buffer` up to the end of the head; returns need_more if they end before it. */
error_code ParseBuffered(beast::flat_buffer& buffer, ResponseParser& parser) {
  error_code error;
  while (!error && !parser.is_header_done()) {
    if (buffer.size() == 0)
      return http::error::need_more;
    const asio::const_buffer bytes = buffer.cdata();
    const size_t used = parser.put(bytes, error);
    const std::string_view parsed(static_cast<const char*>(bytes.data()), used);
    if (HasContinuationLine(parsed))
      error = http::error::bad_field;
    buffer.consume(used);
  }
  return error;
}

/** Returns the error for a connection that ended within a head. */
error_code EndOfStreamError(const ResponseParser& parser) {
  return parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
}

}  // namespace

asio::awaitable<error_code> ReadResponseHead(beast::tcp_stream& stream,
                                             beast::flat_buffer& buffer,
                                             ResponseParser& parser) {
  while (true) {
    error_code error = ParseBuffered(buffer, parser);
    if (error != http::error::need_more)
      co_return error;
    const size_t size = beast::read_size(buffer, kMaxReadBytes);
    if (size == 0)
      co_return http::error::buffer_overflow;
    const size_t received =
        co_await stream.async_read_some(buffer.prepare(size), asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::eof)
      co_return EndOfStreamError(parser);
    if (error)
      co_return error;
    buffer.commit(received);
  }
}

}  // namespace sassafras
