#include "attempt.h"

#include <algorithm>
#include <array>
#include <utility>

#include "call_exchange.h"
#include "core/state.h"
#include "engine.h"
#include "entry/http_dialect.h"
#include "net/http_client.h"
#include "upstream_headers.h"
#include "upstream_pool.h"

namespace sassafras {
namespace {

/** Size of one read while relaying; bounds the memory of one exchange. */
constexpr size_t kPieceBytes = 16u << 10u;
/** Largest response body that is recorded for a repeated idempotency key. */
constexpr size_t kMaxKeptBytes = 64u << 10u;
/** Bytes of a response body that are buffered before any of it is passed to the caller. */
constexpr size_t kMaxHeldAnswer = 128u << 10u;
/** Responses to earlier requests that are skipped on one connection. */
constexpr int kMaxForeignAnswers = 2;
constexpr int kMaxSkippedPieces = 64;
constexpr uint32_t kMaxHeadBytes = 32u << 10u;
/** Requests that must not be repeated use only recently used connections, which the endpoint is unlikely to close. */
constexpr std::chrono::milliseconds kFreshIdle{200};
constexpr std::chrono::seconds kAnyIdle{8};
constexpr unsigned kFirstFailureStatus = 500;

std::chrono::milliseconds TimeLeft(TimePoint deadline, TimePoint now) {
  return std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now));
}

}  // namespace

Attempt::Attempt(CallExchange& exchange,
                 Engine& engine,
                 UpstreamPool& pool,
                 const HttpDialect& dialect,
                 AttemptTarget target)
    : m_exchange(exchange), m_engine(engine), m_pool(pool), m_dialect(dialect), m_target(std::move(target)) {
  m_ended.endpoint = m_target.endpoint;
}

void Attempt::Cancel() {
  m_cancelled = true;
  if (m_connection != nullptr)
    m_connection->stream.close();
}

asio::awaitable<void> Attempt::Run() {
  m_started_at = m_engine.Now();
  m_ended.result = co_await Exchange();
  if (m_cancelled)
    m_ended.result = AttemptResult::kCancelled;
  const AttemptResult result = m_ended.result;
  if (result == AttemptResult::kAnswered) {
    m_engine.Overhead().Observe((m_sent_at - m_exchange.ReceivedAt()) + (m_engine.Now() - m_head_at));
    ReturnIfClean();
  }
  m_connection.reset();
  const unsigned status = m_response.has_value() && m_response->is_header_done() ? m_response->get().result_int() : 0;
  m_exchange.NoteEnd(m_target.name, result, status, m_engine.Now() - m_started_at);
  m_exchange.Report(*this, std::move(m_ended));
  if (result == AttemptResult::kAnswered)
    m_exchange.SetEnd(m_exchange.Caller().gone ? CallExchange::End::kGone : CallExchange::End::kAnswered);
  else if (result == AttemptResult::kCancelled && !m_exchange.HasAttempts())
    m_exchange.SetEnd(CallExchange::End::kGone);
}

asio::awaitable<AttemptResult> Attempt::Exchange() {
  if (m_cancelled)
    co_return AttemptResult::kNotSent;
  const bool connected = co_await Connect();
  if (!connected)
    co_return AttemptResult::kNotSent;
  // Checked right before sending: the process may have been paused, or the endpoint may have begun to leave.
  if (m_engine.Now() >= m_target.deadline || m_engine.GetState().IsLeaving(m_target.endpoint))
    co_return AttemptResult::kWithdrawn;
  m_connection->stream.expires_at(m_target.deadline);
  const error_code send_error = co_await SendRequest();
  m_request_sent_whole = !send_error;
  m_sent_at = m_engine.Now();
  // The response is read even after a send error: an endpoint may answer and close before reading the whole request.
  AnswerKind kind = AnswerKind::kMalformed;
  const error_code head_error = co_await ReadOwnHead(kind);
  if (head_error)
    co_return Failed(head_error);
  m_head_at = m_engine.Now();
  const auto& head = m_response->get();
  m_ended.load = m_dialect.ReadLoad(head);
  m_ended.failure_status = head.result_int() >= kFirstFailureStatus;
  if (kind == AnswerKind::kRefusal || kind == AnswerKind::kWrongEndpoint) {
    const error_code skip_error = co_await SkipBody();
    if (!skip_error)
      ReturnIfClean();
    m_ended.wrong_endpoint = kind == AnswerKind::kWrongEndpoint;
    co_return AttemptResult::kRefused;
  }
  if (kind != AnswerKind::kOwn || (m_response->need_eof() && !m_dialect.AllowsUnframed()))
    co_return AttemptResult::kMalformed;
  // Small responses are buffered completely, so that the caller never receives a truncated one.
  const error_code body_error = co_await ReadHeldBody();
  if (body_error)
    co_return Failed(body_error);
  if (!m_exchange.Claim(*this))
    co_return AttemptResult::kCancelled;
  co_return co_await Relay();
}

asio::awaitable<bool> Attempt::Connect() {
  m_connection = m_pool.Take(m_target.address, m_exchange.IsIdempotent() ? Duration(kAnyIdle) : Duration(kFreshIdle));
  if (m_connection->connected)
    co_return true;
  const auto address = ParseAddress(m_target.address);
  if (!address.ok())
    co_return false;
  error_code error;
  m_connection->stream.expires_at(std::min(m_target.deadline, m_engine.Now() + m_target.connect_timeout));
  co_await m_connection->stream.async_connect(*address, Awaiting(error));
  if (error)
    co_return false;
  m_connection->connected = true;
  m_connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  co_return true;
}

asio::awaitable<error_code> Attempt::SendRequest() {
  const auto& received = m_exchange.Request().get();
  http::request_header<> head = received;
  RemoveHopByHop(head);
  head.version(11);
  head.erase(http::field::expect);
  m_dialect.PrepareAttempt(head, m_target.name, m_target.address, TimeLeft(m_target.deadline, m_engine.Now()));
  if (!m_exchange.BodyComplete())
    co_return co_await SendStreamedBody(http::request<http::buffer_body>(std::move(head)));
  http::request<http::span_body<const char>> request(std::move(head));
  request.body() = {m_exchange.Body().data(), m_exchange.Body().size()};
  // The body is complete, so its length is known even if the caller used chunked encoding.
  request.chunked(false);
  if (!request.body().empty() || received.has_content_length() || received.chunked())
    request.content_length(request.body().size());
  error_code error;
  co_await http::async_write(m_connection->stream, request, Awaiting(error));
  co_return error;
}

asio::awaitable<error_code> Attempt::SendStreamedBody(http::request<http::buffer_body> request) {
  http::request_serializer<http::buffer_body> serializer(request);
  std::string piece = std::move(m_exchange.Body());
  CallExchange::Parser& parser = m_exchange.Request();
  error_code error;
  while (true) {
    request.body().data = piece.empty() ? nullptr : piece.data();
    request.body().size = piece.size();
    request.body().more = !parser.is_done();
    co_await http::async_write(m_connection->stream, serializer, Awaiting(error));
    if (error == http::error::need_buffer)
      error = {};
    if (error || parser.is_done())
      co_return error;
    piece.resize(kPieceBytes);
    parser.get().body().data = piece.data();
    parser.get().body().size = piece.size();
    CallerStream& caller = m_exchange.Caller();
    caller.stream.expires_at(m_target.deadline);
    co_await http::async_read_some(caller.stream, caller.buffer, parser, Awaiting(error));
    if (error == http::error::need_buffer)
      error = {};
    if (error) {
      // Closes the connection, so that the endpoint cannot take the truncated request for a complete one.
      caller.gone = true;
      Cancel();
      co_return error;
    }
    piece.resize(piece.size() - parser.get().body().size);
  }
}

asio::awaitable<error_code> Attempt::ReadHead() {
  const bool head_request = m_exchange.Request().get().method() == http::verb::head;
  error_code error;
  do {
    m_response.emplace();
    m_response->header_limit(kMaxHeadBytes);
    m_response->body_limit(boost::none);
    m_response->skip(head_request);
    co_await http::async_read_header(m_connection->stream, m_connection->buffer, *m_response, Awaiting(error));
  } while (!error && http::to_status_class(m_response->get().result()) == http::status_class::informational);
  co_return error;
}

asio::awaitable<error_code> Attempt::ReadOwnHead(AnswerKind& kind) {
  error_code error;
  for (int foreign = 0; foreign <= kMaxForeignAnswers; ++foreign) {
    error = co_await ReadHead();
    if (error)
      co_return error;
    kind = m_dialect.Classify(m_exchange.Request().get(), m_response->get());
    // After a response delimited by the end of the connection, none can follow for this request.
    if (kind != AnswerKind::kForeign || m_response->need_eof())
      co_return error;
    error = co_await SkipBody();
    if (error)
      co_return error;
  }
  co_return error;
}

asio::awaitable<error_code> Attempt::ReadHeldBody() {
  error_code error;
  while (!m_response->is_done() && !error && m_body.size() < kMaxHeldAnswer) {
    const size_t had = m_body.size();
    m_body.resize(had + kPieceBytes);
    m_response->get().body().data = m_body.data() + had;
    m_response->get().body().size = kPieceBytes;
    co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_response, Awaiting(error));
    if (error == http::error::need_buffer)
      error = {};
    m_body.resize(had + kPieceBytes - m_response->get().body().size);
  }
  co_return error;
}

AttemptResult Attempt::Failed(const error_code& error) const {
  if (m_cancelled)
    return AttemptResult::kCancelled;
  if (error == beast::error::timeout || m_engine.Now() >= m_target.deadline)
    return AttemptResult::kTimedOut;
  const bool transport = error == http::error::end_of_stream || error == http::error::partial_message ||
                         error.category() != http::make_error_code(http::error::end_of_stream).category();
  return transport ? AttemptResult::kBroken : AttemptResult::kMalformed;
}

asio::awaitable<error_code> Attempt::SkipBody() {
  std::array<char, 2'048> scratch{};
  error_code error;
  for (int pieces = 0; !m_response->is_done() && !error && pieces < kMaxSkippedPieces; ++pieces) {
    m_response->get().body().data = scratch.data();
    m_response->get().body().size = scratch.size();
    co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_response, Awaiting(error));
    if (error == http::error::need_buffer)
      error = {};
  }
  if (!error && !m_response->is_done())
    error = http::error::body_limit;
  co_return error;
}

asio::awaitable<AttemptResult> Attempt::Relay() {
  http::response_header<> head = m_response->get();
  RemoveHopByHop(head);
  head.version(11);
  http::response<http::buffer_body> answer(std::move(head));
  answer.keep_alive(m_exchange.KeepAlive());
  if (m_target.keep_answer)
    Keep(answer);
  if (!m_response->is_done())
    co_return co_await RelayBody(answer);
  // Responses to HEAD, and 204 and 304, have no body even if Content-Length says otherwise.
  const bool has_body = !m_body.empty() || m_response->need_eof() || m_response->chunked();
  if (has_body) {
    answer.chunked(false);
    answer.content_length(m_body.size());
  }
  answer.body().data = m_body.empty() ? nullptr : m_body.data();
  answer.body().size = m_body.size();
  answer.body().more = false;
  if (m_kept != nullptr && m_body.size() <= kMaxKeptBytes)
    m_kept->body = m_body;
  else
    m_kept.reset();
  http::response_serializer<http::buffer_body> serializer(answer);
  co_await WriteToCaller(serializer);
  m_ended.answer = m_kept;
  co_return AttemptResult::kAnswered;
}

asio::awaitable<AttemptResult> Attempt::RelayBody(http::response<http::buffer_body>& answer) {
  http::response_serializer<http::buffer_body> serializer(answer);
  std::array<char, kPieceBytes> piece;
  CallerStream& caller = m_exchange.Caller();
  error_code error;
  // The body exceeds the limit for recorded responses.
  m_kept.reset();
  answer.body().data = m_body.data();
  answer.body().size = m_body.size();
  answer.body().more = true;
  co_await WriteToCaller(serializer);
  while (!m_response->is_done()) {
    m_response->get().body().data = piece.data();
    m_response->get().body().size = piece.size();
    co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_response, Awaiting(error));
    if (error == http::error::need_buffer)
      error = {};
    if (error && m_exchange.AnswerStarted()) {
      const AttemptResult failed = Failed(error);
      co_return failed == AttemptResult::kBroken || failed == AttemptResult::kMalformed ? AttemptResult::kBrokenInAnswer
                                                                                        : failed;
    }
    if (error)
      co_return Failed(error);
    const size_t size = piece.size() - m_response->get().body().size;
    answer.body().data = size == 0 ? nullptr : piece.data();
    answer.body().size = size;
    answer.body().more = !m_response->is_done();
    co_await WriteToCaller(serializer);
    if (caller.gone && m_exchange.IsIdempotent())
      co_return AttemptResult::kCancelled;
  }
  m_ended.answer = m_kept;
  co_return AttemptResult::kAnswered;
}

asio::awaitable<void> Attempt::WriteToCaller(http::response_serializer<http::buffer_body>& serializer) {
  CallerStream& caller = m_exchange.Caller();
  if (caller.gone)
    co_return;
  m_exchange.SetAnswerStarted();
  error_code error;
  caller.stream.expires_at(m_target.deadline);
  co_await http::async_write(caller.stream, serializer, Awaiting(error));
  if (error && error != http::error::need_buffer)
    caller.gone = true;
}

void Attempt::Keep(const http::response<http::buffer_body>& answer) {
  m_kept = std::make_shared<RecordedAnswer>();
  m_kept->status = static_cast<uint16_t>(answer.result_int());
  for (const auto& field : answer) {
    const bool framing = field.name() == http::field::transfer_encoding ||
                         field.name() == http::field::content_length || field.name() == http::field::connection;
    if (!framing)
      m_kept->headers.emplace_back(field.name_string(), field.value());
  }
}

void Attempt::ReturnIfClean() {
  const bool clean = m_response->is_done() && m_request_sent_whole && m_response->keep_alive() &&
                     m_connection->buffer.size() == 0 && !m_cancelled && !m_ended.load.draining;
  if (clean)
    m_pool.Return(m_target.address, std::move(m_connection));
}

}  // namespace sassafras
