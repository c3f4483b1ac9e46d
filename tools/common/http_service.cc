#include "http_service.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "net/listener.h"

namespace sassafras {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

HttpService::HttpService(asio::io_context& context, Handler handler)
    : m_context(context), m_handler(std::move(handler)), m_acceptor(context) {}

absl::Status HttpService::Listen(const std::string& address) {
  if (absl::Status status = OpenListener(m_acceptor, address, "--listen"); !status.ok())
    return status;
  asio::co_spawn(m_context, AcceptConnections(), asio::detached);
  return absl::OkStatus();
}

void HttpService::StopListening() {
  error_code ignored;
  m_acceptor.close(ignored);
}

asio::awaitable<void> HttpService::AcceptConnections() {
  while (m_acceptor.is_open()) {
    error_code error;
    asio::ip::tcp::socket socket(m_context);
    co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
    if (!m_acceptor.is_open())
      co_return;
    if (!error)
      asio::co_spawn(m_context, ServeConnection(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> HttpService::ServeConnection(asio::ip::tcp::socket socket) {
  error_code error;
  socket.set_option(asio::ip::tcp::no_delay(true), error);
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  ++m_connection_count;
  bool keep_connection = true;
  while (keep_connection) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error)
      break;
    keep_connection = co_await m_handler(parser.get(), stream);
  }
  --m_connection_count;
  stream.close();
}

asio::awaitable<bool> WriteResponse(beast::tcp_stream& stream, HttpService::Response response) {
  error_code error;
  const bool keep_connection = response.keep_alive();
  co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, error));
  co_return keep_connection && !error;
}

bool IsClosedByClient(beast::tcp_stream& stream) {
  char byte = 0;
  error_code error;
  stream.socket().non_blocking(true, error);
  const size_t size = stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return size == 0 && error != asio::error::would_block;
}

HttpService::Response MakeResponse(const HttpService::Request& request, int status, std::string body) {
  HttpService::Response response(static_cast<http::status>(status), 11);
  response.keep_alive(request.keep_alive());
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

}  // namespace sassafras
