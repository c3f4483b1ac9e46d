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
class ForwardedFields;
class HttpDialect;
enum class ResponseKind : uint8_t;
class UpstreamPool;

/** One attempt of a call at one endpoint: sends the request and relays the response if no other attempt did first. */
class Attempt {
 public:
  Attempt(CallExchange& exchange, Engine& engine, UpstreamPool& pool, const HttpDialect& dialect, AttemptTarget target);

  /** Runs the attempt and reports its end to the exchange exactly once. */
  asio::awaitable<void> Run();
  /** Closes the connection to the endpoint; Run() then returns soon. */
  void Cancel();

 private:
  using Response = http::response_parser<http::buffer_body>;

  asio::awaitable<AttemptResult> SendAndReceive();
  asio::awaitable<bool> Connect();
  bool MaySend();
  asio::awaitable<error_code> SendRequest();
  /** Closes the connection before the request is complete, so that the endpoint cannot take it for a whole one. */
  void Abort();
  asio::awaitable<error_code> SendStreamedBody(http::request<http::buffer_body, ForwardedFields> request);
  /** Reads response heads until one is not that of an interim response. */
  asio::awaitable<error_code> ReadFinalResponseHead();
  /** Reads response heads until one matches this request; responses to earlier requests may precede it. */
  asio::awaitable<error_code> ReadMatchingResponseHead(ResponseKind& kind);
  /**
   * Whether the end of the response body can be told from a connection that broke off within it. A body that only the
   * end of the connection delimits has no such end if the request could not be sent completely.
   */
  bool CanTellWholeBody() const;
  /** Reads the response body up to the buffering limit; returns an error if the body ended early. */
  asio::awaitable<error_code> BufferResponseBody();
  asio::awaitable<error_code> DiscardResponseBody();
  asio::awaitable<AttemptResult> RelayResponse();
  asio::awaitable<AttemptResult> RelayRemainingBody(http::response<http::buffer_body>& answer);
  asio::awaitable<void> WriteToCaller(http::response_serializer<http::buffer_body>& serializer);
  /** Reads the load report in the response head, and passes on at once that the endpoint takes no more requests. */
  void ReadLoad(ResponseKind kind);
  /** Shortens the wait for the final response to an idempotent call, so that another endpoint can answer in time. */
  void LimitWaitAfterInterim();
  AttemptResult ResultForError(const error_code& error) const;
  void ReturnConnectionIfReusable();
  void StartRecording(const http::response<http::buffer_body>& answer);

  CallExchange& m_exchange;
  Engine& m_engine;
  UpstreamPool& m_pool;
  const HttpDialect& m_dialect;
  AttemptTarget m_target;
  std::unique_ptr<UpstreamConnection> m_connection;
  std::optional<Response> m_response;
  /** Head of the response to this request, without the fields of a trailer. */
  http::response_header<> m_answer_head;
  /** Response body read so far. */
  std::string m_body;
  bool m_cancelled = false;
  bool m_aborted = false;
  bool m_request_fully_sent = false;
  /** Whether an interim response was read and the final one was not. */
  bool m_awaits_final_response = false;
  /** Response to record for the idempotency key; null if it is not recorded or has grown too large. */
  std::shared_ptr<RecordedAnswer> m_recording;
  TimePoint m_started_at{};
  TimePoint m_request_sent_at{};
  TimePoint m_response_head_at{};
  Event::AttemptEnded m_end_event;
};

}  // namespace sassafras
