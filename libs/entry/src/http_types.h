#pragma once

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace sassafras {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

/** Completion token for co_await that stores the error in `error` instead of throwing it. */
inline auto AwaitWithError(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

}  // namespace sassafras
