#pragma once

#include <memory>
#include <optional>
#include <string>

#include "attempt_target.h"
#include "core/event.h"
#include "http_types.h"
#include "upstream_connection.h"

namespace sassafras {

class CallExchange;
class Engine;
class HttpDialect;
enum class AnswerKind : uint8_t;
class UpstreamPool;

/** One attempt of a call at one endpoint: sends the request, and relays the answer if it is the first. */
class Attempt {
 public:
  Attempt(CallExchange& exchange, Engine& engine, UpstreamPool& pool, const HttpDialect& dialect, AttemptTarget target);

  /** Runs to the end and reports it to the exchange exactly once. */
  asio::awaitable<void> Run();
  /** Breaks the exchange with the endpoint off; Run() then ends soon. */
  void Cancel();

 private:
  using Response = http::response_parser<http::buffer_body>;

  asio::awaitable<AttemptResult> Exchange();
  asio::awaitable<bool> Connect();
  asio::awaitable<error_code> SendRequest();
  asio::awaitable<error_code> SendStreamedBody(http::request<http::buffer_body> request);
  asio::awaitable<error_code> ReadHead();
  /** Reads heads until one answers this request; earlier requests may have left theirs on the connection. */
  asio::awaitable<error_code> ReadOwnHead(AnswerKind& kind);
  /** Reads the answer whole, or as much as is held; returns an error if it ended early. */
  asio::awaitable<error_code> ReadHeldBody();
  asio::awaitable<error_code> SkipBody();
  asio::awaitable<AttemptResult> Relay();
  asio::awaitable<AttemptResult> RelayBody(http::response<http::buffer_body>& answer);
  asio::awaitable<void> WriteToCaller(http::response_serializer<http::buffer_body>& serializer);
  AttemptResult Failed(const error_code& error) const;
  void ReturnIfClean();
  void Keep(const http::response<http::buffer_body>& answer);

  CallExchange& m_exchange;
  Engine& m_engine;
  UpstreamPool& m_pool;
  const HttpDialect& m_dialect;
  AttemptTarget m_target;
  std::unique_ptr<UpstreamConnection> m_connection;
  std::optional<Response> m_response;
  /** Answer body read so far. */
  std::string m_body;
  bool m_cancelled = false;
  bool m_request_sent_whole = false;
  /** Answer kept so far; empty once it has grown too large. */
  std::shared_ptr<RecordedAnswer> m_kept;
  TimePoint m_started_at{};
  TimePoint m_sent_at{};
  TimePoint m_head_at{};
  Event::AttemptEnded m_ended;
};

}  // namespace sassafras
