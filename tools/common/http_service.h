#pragma once

#include <functional>
#include <string>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace sassafras {

/** Minimal HTTP/1.1 server of the stand-ins, with one handler for all requests. */
class HttpService {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;
  /** Writes the response to one request to the stream; returns whether the connection can be reused. */
  using Handler = std::function<boost::asio::awaitable<bool>(const Request&, boost::beast::tcp_stream&)>;

  HttpService(boost::asio::io_context& context, Handler handler);

  /** Listens at `address` (IP:port) and starts to accept connections. */
  absl::Status Listen(const std::string& address);
  /** Stops accepting connections; open connections are still served. */
  void StopListening();
  size_t ConnectionCount() const { return m_connection_count; }

 private:
  boost::asio::awaitable<void> AcceptConnections();
  boost::asio::awaitable<void> ServeConnection(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& m_context;
  Handler m_handler;
  boost::asio::ip::tcp::acceptor m_acceptor;
  size_t m_connection_count = 0;
};

/** Writes a complete response; returns whether the connection can be reused. */
boost::asio::awaitable<bool> WriteResponse(boost::beast::tcp_stream& stream, HttpService::Response response);

/** Whether the client closed its connection, which cancels the request in progress. */
bool IsClosedByClient(boost::beast::tcp_stream& stream);

/** Returns a response with the body and Content-Length, and with the same keep-alive choice as the request. */
HttpService::Response MakeResponse(const HttpService::Request& request, int status, std::string body);

}  // namespace sassafras
