#include "net/http_client.h"

#include <utility>

#include <boost/asio/this_coro.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include "base/error.h"
#include "base/parse_number.h"
#include "net/http_status.h"
#include "net/response_head.h"
#include "net/stream_deadline.h"

namespace sassafras {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

/** Largest body of a reply of SendHttp(), and largest unfinished line of StreamHttp(). */
constexpr uint64_t kMaxReplyBytes = 8u << 20u;

auto RedirectErrorTo(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

absl::Status UnreachableError(std::string_view address, const error_code& error) {
  return MakeError(ErrorKind::kUnreachable, fmt::format("{}: cannot connect: {}", address, error.message()),
                   "check the address and that the process runs");
}

absl::Status ReplyLostError(std::string_view address, const error_code& error) {
  return MakeError(ErrorKind::kOutcomeUnknown,
                   fmt::format("{}: the connection ended without a complete reply: {}", address, error.message()),
                   "read the state again to see whether the request took effect");
}

http::request<http::string_body> MakeRequest(std::string_view address,
                                             std::string_view method,
                                             std::string_view target,
                                             std::string body) {
  http::request<http::string_body> request;
  request.method_string(method);
  request.target(target);
  request.version(11);
  request.set(http::field::host, address);
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  request.prepare_payload();
  return request;
}

asio::awaitable<absl::Status> Connect(beast::tcp_stream& stream,
                                      const StreamDeadline& deadline,
                                      const std::string& address) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint.ok())
    co_return endpoint.status();
  error_code error;
  co_await stream.async_connect(*endpoint, RedirectErrorTo(error));
  if (error)
    co_return UnreachableError(address, deadline.Resolve(error));
  stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  co_return absl::OkStatus();
}

/** Passes the complete lines in `pending` to `on_line` and leaves the incomplete rest. */
void ConsumeLines(std::string& pending, const std::function<void(std::string_view)>& on_line) {
  size_t start = 0;
  for (size_t end = pending.find('\n'); end != std::string::npos; end = pending.find('\n', start)) {
    if (end > start)
      on_line(std::string_view(pending).substr(start, end - start));
    start = end + 1;
  }
  pending.erase(0, start);
}

}  // namespace

absl::StatusOr<asio::ip::tcp::endpoint> ParseAddress(std::string_view address) {
  const size_t colon = address.rfind(':');
  error_code error;
  uint16_t port = 0;
  asio::ip::address ip;
  if (colon != std::string_view::npos) {
    ip = asio::ip::make_address(address.substr(0, colon), error);
    if (!ParseNumber(address.substr(colon + 1), port))
      error = asio::error::invalid_argument;
  }
  if (colon == std::string_view::npos || error) {
    return MakeError(ErrorKind::kInvalidValue, fmt::format("'{}' is not IP:port", address),
                     "write it like 10.0.0.7:8080");
  }
  return asio::ip::tcp::endpoint(ip, port);
}

asio::awaitable<absl::StatusOr<HttpReply>> SendHttp(std::string address,
                                                    std::string method,
                                                    std::string target,
                                                    std::string body,
                                                    std::chrono::milliseconds timeout) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  StreamDeadline deadline(stream);
  deadline.ExpiresAfter(timeout, StreamDeadline::Awaits::kConnection);
  if (absl::Status status = co_await Connect(stream, deadline, address); !status.ok())
    co_return status;
  deadline.SetAwaits(StreamDeadline::Awaits::kInput);
  http::request<http::string_body> request = MakeRequest(address, method, target, std::move(body));
  request.keep_alive(false);
  error_code error;
  co_await http::async_write(stream, request, RedirectErrorTo(error));
  if (error)
    co_return ReplyLostError(address, deadline.Resolve(error));
  beast::flat_buffer buffer(kMaxUnparsedResponseBytes);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxReplyBytes);
  error = co_await ReadResponseHead(stream, buffer, parser);
  if (!error && !IsFinalStatus(parser.get().result_int()))
    error = http::error::bad_status;
  if (error)
    co_return ReplyLostError(address, deadline.Resolve(error));
  HttpReply reply;
  reply.status = static_cast<int>(parser.get().result_int());
  // Copied now: the parser adds the fields of a trailer to those of the head.
  reply.headers = parser.get().base();
  co_await http::async_read(stream, buffer, parser, RedirectErrorTo(error));
  if (error)
    co_return ReplyLostError(address, deadline.Resolve(error));
  reply.body = std::move(parser.get().body());
  co_return reply;
}

asio::awaitable<absl::Status> StreamHttp(std::string address,
                                         std::string target,
                                         std::string body,
                                         std::chrono::milliseconds idle_timeout,
                                         std::function<void(std::string_view)> on_line,
                                         StreamCanceller& canceller) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  canceller.SetHandler([&stream] { stream.close(); });
  StreamDeadline deadline(stream);
  deadline.ExpiresAfter(idle_timeout, StreamDeadline::Awaits::kConnection);
  if (absl::Status status = co_await Connect(stream, deadline, address); !status.ok()) {
    canceller.ClearHandler();
    co_return status;
  }
  deadline.ExpiresAfter(idle_timeout);
  const http::request<http::string_body> request = MakeRequest(address, "POST", target, std::move(body));
  error_code error;
  co_await http::async_write(stream, request, RedirectErrorTo(error));
  beast::flat_buffer buffer(kMaxUnparsedResponseBytes);
  http::response_parser<http::buffer_body> parser;
  parser.body_limit(boost::none);
  if (!error)
    error = co_await ReadResponseHead(stream, buffer, parser);
  if (!error && !IsFinalStatus(parser.get().result_int()))
    error = http::error::bad_status;
  std::string pending;
  constexpr size_t kChunkBytes = 64u << 10u;
  std::string chunk(kChunkBytes, '\0');
  while (!error && !parser.is_done() && pending.size() < kMaxReplyBytes) {
    deadline.ExpiresAfter(idle_timeout);
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    co_await http::async_read_some(stream, buffer, parser, RedirectErrorTo(error));
    if (error == http::error::need_buffer)
      error = {};
    pending.append(chunk.data(), chunk.size() - parser.get().body().size);
    ConsumeLines(pending, on_line);
  }
  canceller.ClearHandler();
  co_return ReplyLostError(address, deadline.Resolve(error));
}

}  // namespace sassafras
