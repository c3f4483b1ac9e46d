#pragma once

#include <functional>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "http_types.h"

namespace sassafras {

/** An endpoint on a loopback address that plays a script for each request that it reads. */
class ScriptedEndpoint {
 public:
  using Request = http::request<http::string_body>;
  /** Plays the answer to one request; returns whether the connection stays open for another one. */
  using Script = std::function<asio::awaitable<bool>(asio::ip::tcp::socket&, const Request&)>;

  ScriptedEndpoint(asio::io_context& context, Script script)
      : m_acceptor(context, {asio::ip::address_v4::loopback(), 0}), m_script(std::move(script)) {
    asio::co_spawn(context, Accept(), asio::detached);
  }

  /** From now on, plays the script once the head of a request is read, and reads the body after it. */
  void AnswerAfterHead() { m_answers_after_head = true; }
  /**
   * From now on, reads heads of any length without parsing them and plays the script for an empty request. A body that
   * follows is not told from the next head.
   */
  void ReadHeadsAsBytes() { m_reads_bytes = true; }
  /** The last head read as bytes. */
  const std::string& HeadBytes() const { return m_head_bytes; }

  std::string Address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
  size_t RequestCount() const { return m_requests; }
  size_t ConnectionCount() const { return m_connections; }
  size_t OpenConnectionCount() const { return m_open_connections; }

 private:
  asio::awaitable<void> Accept() {
    error_code error;
    while (true) {
      asio::ip::tcp::socket socket(m_acceptor.get_executor());
      co_await m_acceptor.async_accept(socket, AwaitWithError(error));
      if (error)
        co_return;
      ++m_connections;
      ++m_open_connections;
      asio::co_spawn(m_acceptor.get_executor(), Serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> Serve(asio::ip::tcp::socket socket) {
    beast::flat_buffer buffer;
    error_code error;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    bool open = true;
    while (open && m_reads_bytes)
      open = co_await ServeBytes(socket);
    while (open) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(boost::none);
      co_await http::async_read_header(socket, buffer, parser, AwaitWithError(error));
      if (!error && !m_answers_after_head)
        co_await http::async_read(socket, buffer, parser, AwaitWithError(error));
      if (error)
        break;
      ++m_requests;
      open = co_await m_script(socket, parser.get());
      if (open && !parser.is_done())
        co_await http::async_read(socket, buffer, parser, AwaitWithError(error));
    }
    --m_open_connections;
  }

  /** Reads the next head as bytes and plays the script; returns whether the connection stays open. */
  asio::awaitable<bool> ServeBytes(asio::ip::tcp::socket& socket) {
    error_code error;
    std::string bytes;
    const size_t size =
        co_await asio::async_read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n", AwaitWithError(error));
    if (error)
      co_return false;
    ++m_requests;
    m_head_bytes = bytes.substr(0, size);
    const Request no_request;
    co_return co_await m_script(socket, no_request);
  }

  asio::ip::tcp::acceptor m_acceptor;
  Script m_script;
  bool m_answers_after_head = false;
  bool m_reads_bytes = false;
  std::string m_head_bytes;
  size_t m_requests = 0;
  size_t m_connections = 0;
  size_t m_open_connections = 0;
};

/** Writes all of `bytes`; returns whether that succeeded. */
inline asio::awaitable<bool> WriteBytes(asio::ip::tcp::socket& socket, std::string bytes) {
  error_code error;
  co_await asio::async_write(socket, asio::buffer(bytes), AwaitWithError(error));
  co_return !error;
}

}  // namespace sassafras
