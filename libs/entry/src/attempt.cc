#include "attempt.h"

#include <algorithm>
#include <array>
#include <utility>

#include "call_exchange.h"
#include "core/state.h"
#include "engine.h"
#include "entry/http_dialect.h"
#include "forwarded_fields.h"
#include "net/http_client.h"
#include "net/http_status.h"
#include "net/response_head.h"
#include "read_deadline.h"
#include "upstream_headers.h"
#include "upstream_pool.h"

namespace sassafras {
namespace {

/** Size of one read while a body is relayed. */
constexpr size_t kRelayBufferBytes = 16u << 10u;
/** Largest response body that is recorded for a repeated idempotency key. */
constexpr size_t kMaxRecordedBodyBytes = 64u << 10u;
/** Bytes of a response body that are buffered before any of it is passed to the caller. */
constexpr size_t kMaxBufferedResponseBytes = 128u << 10u;
/** Most responses to earlier requests that one attempt skips before it fails. */
constexpr int kMaxMismatchedResponses = 2;
/** Most interim responses (1xx) ahead of a response; an endpoint could send them without end. */
constexpr int kMaxInterimResponses = 8;
/** Most reads spent on discarding a response body so that its connection can be reused. */
constexpr int kMaxDiscardReads = 64;
constexpr uint32_t kMaxResponseHeadBytes = 32u << 10u;
/**
 * Longest idle time of a pooled connection that is used. It is short for requests that must not be repeated: the
 * endpoint is unlikely to close a recently used connection just when the request is sent.
 */
constexpr std::chrono::milliseconds kMaxIdleUnsafeToRepeat{200};
constexpr std::chrono::seconds kMaxIdleSafeToRepeat{8};
constexpr unsigned kFirstServerErrorStatus = 500;

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
  m_end_event.endpoint = m_target.endpoint;
}

void Attempt::Cancel() {
  m_cancelled = true;
  if (m_connection != nullptr)
    m_connection->stream.close();
}

void Attempt::Abort() {
  m_aborted = true;
  m_connection->stream.close();
}

asio::awaitable<void> Attempt::Run() {
  m_started_at = m_engine.Now();
  m_end_event.result = co_await SendAndReceive();
  if (m_cancelled)
    m_end_event.result = AttemptResult::kCancelled;
  const AttemptResult result = m_end_event.result;
  if (result == AttemptResult::kAnswered) {
    m_engine.Overhead().Observe((m_request_sent_at - m_exchange.SubmittedAt()) + (m_engine.Now() - m_response_head_at));
    ReturnConnectionIfReusable();
  }
  m_connection.reset();
  const unsigned status = m_response.has_value() && m_response->is_header_done() ? m_response->get().result_int() : 0;
  m_exchange.LogAttemptEnd(m_target.name, result, status, m_engine.Now() - m_started_at);
  m_exchange.ReportAttemptEnd(*this, std::move(m_end_event));
  if (result == AttemptResult::kAnswered)
    m_exchange.Complete(m_exchange.Caller().disconnected ? CallExchange::Completion::kCallerGone
                                                         : CallExchange::Completion::kAnswered);
  else if (result == AttemptResult::kCancelled && !m_exchange.HasRunningAttempts())
    m_exchange.Complete(CallExchange::Completion::kCallerGone);
}

asio::awaitable<AttemptResult> Attempt::SendAndReceive() {
  if (m_cancelled)
    co_return AttemptResult::kNotSent;
  const bool connected = co_await Connect();
  if (!connected)
    co_return AttemptResult::kNotSent;
  // Checked right before sending: the process may have been paused, or the endpoint may no longer take calls.
  if (!MaySend())
    co_return AttemptResult::kWithdrawn;
  m_connection->stream.expires_at(m_target.deadline);
  const error_code send_error = co_await SendRequest();
  m_request_fully_sent = !send_error;
  m_request_sent_at = m_engine.Now();
  if (m_aborted)
    co_return AttemptResult::kAborted;
  // The response is read even after a send error: an endpoint may answer and close before reading the whole request.
  ResponseKind kind = ResponseKind::kMalformed;
  const error_code head_error = co_await ReadMatchingResponseHead(kind);
  if (head_error)
    co_return ResultForError(head_error);
  m_response_head_at = m_engine.Now();
  const auto& head = m_response->get();
  ReadLoad(kind);
  m_end_event.failure_status = head.result_int() >= kFirstServerErrorStatus;
  if (kind == ResponseKind::kRefusal || kind == ResponseKind::kWrongEndpoint) {
    const error_code discard_error = co_await DiscardResponseBody();
    if (!discard_error)
      ReturnConnectionIfReusable();
    m_end_event.wrong_endpoint = kind == ResponseKind::kWrongEndpoint;
    co_return AttemptResult::kRefused;
  }
  if (kind != ResponseKind::kMatching || (m_response->need_eof() && !m_dialect.AllowsCloseDelimitedBody()))
    co_return AttemptResult::kMalformed;
  if (!CanTellWholeBody())
    co_return AttemptResult::kBroken;
  // Copied now: the parser adds the fields of a trailer to those of the head.
  m_answer_head = m_response->get();
  // Small responses are buffered completely, so that the caller never receives a truncated one.
  const error_code body_error = co_await BufferResponseBody();
  if (body_error)
    co_return ResultForError(body_error);
  if (!m_exchange.Claim(*this))
    co_return AttemptResult::kCancelled;
  co_return co_await RelayResponse();
}

asio::awaitable<bool> Attempt::Connect() {
  m_connection = m_pool.Take(
      m_target.address, m_exchange.IsRepeatSafe() ? Duration(kMaxIdleSafeToRepeat) : Duration(kMaxIdleUnsafeToRepeat));
  if (m_connection->connected)
    co_return true;
  const auto address = ParseAddress(m_target.address);
  if (!address.ok())
    co_return false;
  error_code error;
  m_connection->stream.expires_at(std::min(m_target.deadline, m_engine.Now() + m_target.connect_timeout));
  co_await m_connection->stream.async_connect(*address, AwaitWithError(error));
  if (error)
    co_return false;
  m_connection->connected = true;
  m_connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  co_return true;
}

bool Attempt::MaySend() {
  m_engine.NoticeSuspension();
  const TimePoint now = m_engine.Now();
  const State& state = m_engine.GetState();
  return now < m_target.deadline && state.AcceptsCalls(m_target.endpoint) && !state.IsHeldOff(m_target.endpoint, now) &&
         state.MaySendWithKey(m_exchange.Call(), now);
}

asio::awaitable<error_code> Attempt::SendRequest() {
  http::request_header<> head = m_exchange.Head();
  RemoveHopByHopHeaders(head);
  head.version(11);
  head.erase(http::field::expect);
  m_exchange.SetAccount(head);
  m_dialect.SetAttemptHeaders(head, m_target.name, m_target.address, TimeLeft(m_target.deadline, m_engine.Now()));
  auto forwarded = MakeForwardedHead(std::move(head), m_exchange.Request().GetLongFields());
  if (!m_exchange.BodyComplete())
    co_return co_await SendStreamedBody(http::request<http::buffer_body, ForwardedFields>(std::move(forwarded)));
  http::request<http::span_body<const char>, ForwardedFields> request(std::move(forwarded));
  request.body() = {m_exchange.Body().data(), m_exchange.Body().size()};
  // The body is complete, so its length is known even if the caller used chunked encoding.
  request.chunked(false);
  if (!request.body().empty() || m_exchange.Request().content_length().has_value() || m_exchange.Request().chunked())
    request.content_length(request.body().size());
  error_code error;
  co_await http::async_write(m_connection->stream, request, AwaitWithError(error));
  co_return error;
}

asio::awaitable<error_code> Attempt::SendStreamedBody(http::request<http::buffer_body, ForwardedFields> request) {
  http::request_serializer<http::buffer_body, ForwardedFields> serializer(request);
  std::string relay_buffer = std::move(m_exchange.Body());
  RequestParser& parser = m_exchange.Request();
  error_code error;
  while (true) {
    request.body().data = relay_buffer.empty() ? nullptr : relay_buffer.data();
    request.body().size = relay_buffer.size();
    request.body().more = !parser.is_done();
    // A request whose key is revoked while its body arrives must not be completed.
    if (!m_engine.GetState().MaySendWithKey(m_exchange.Call(), m_engine.Now())) {
      Abort();
      co_return asio::error::operation_aborted;
    }
    co_await http::async_write(m_connection->stream, serializer, AwaitWithError(error));
    if (error == http::error::need_buffer)
      error = {};
    if (error || parser.is_done())
      co_return error;
    relay_buffer.resize(kRelayBufferBytes);
    parser.get().body().data = relay_buffer.data();
    parser.get().body().size = relay_buffer.size();
    CallerStream& caller = m_exchange.Caller();
    const ReadDeadline deadline(caller, m_target.deadline - m_engine.Now());
    co_await http::async_read_some(caller.stream, caller.buffer, parser, AwaitWithError(error));
    error = deadline.Resolve(error);
    if (error == http::error::need_buffer)
      error = {};
    // The caller still waits for the response that the call ends with.
    if (error == beast::error::timeout)
      co_return error;
    if (error) {
      // Closes the connection, so that the endpoint cannot take the truncated request for a complete one.
      caller.disconnected = true;
      Cancel();
      co_return error;
    }
    relay_buffer.resize(relay_buffer.size() - parser.get().body().size);
  }
}

asio::awaitable<error_code> Attempt::ReadFinalResponseHead() {
  const bool head_request = m_exchange.Head().method() == http::verb::head;
  error_code error;
  for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
    m_response.emplace();
    m_response->header_limit(kMaxResponseHeadBytes);
    m_response->body_limit(boost::none);
    m_response->skip(head_request);
    error = co_await ReadResponseHead(m_connection->stream, m_connection->buffer, *m_response);
    if (error)
      co_return error;
    const unsigned status = m_response->get().result_int();
    if (IsFinalStatus(status)) {
      m_awaits_final_response = false;
      m_connection->stream.expires_at(m_target.deadline);
      co_return error;
    }
    if (!IsInterimStatus(status))
      break;
    if (!std::exchange(m_awaits_final_response, true))
      LimitWaitAfterInterim();
  }
  co_return http::error::bad_status;
}

asio::awaitable<error_code> Attempt::ReadMatchingResponseHead(ResponseKind& kind) {
  error_code error;
  for (int mismatched = 0; mismatched <= kMaxMismatchedResponses; ++mismatched) {
    error = co_await ReadFinalResponseHead();
    if (error)
      co_return error;
    kind = m_dialect.Classify(m_exchange.Head(), m_response->get());
    // After a response delimited by the end of the connection, none can follow for this request.
    if (kind != ResponseKind::kMismatched || m_response->need_eof())
      co_return error;
    error = co_await DiscardResponseBody();
    if (error)
      co_return error;
  }
  co_return error;
}

bool Attempt::CanTellWholeBody() const {
  // A socket reports a reset once. If the write of the request has received that error, reads return the bytes that
  // arrived before the reset and then an orderly end.
  return m_request_fully_sent || !m_response->need_eof();
}

asio::awaitable<error_code> Attempt::BufferResponseBody() {
  error_code error;
  while (!m_response->is_done() && !error && m_body.size() < kMaxBufferedResponseBytes) {
    const size_t old_size = m_body.size();
    m_body.resize(old_size + kRelayBufferBytes);
    m_response->get().body().data = m_body.data() + old_size;
    m_response->get().body().size = kRelayBufferBytes;
    co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_response, AwaitWithError(error));
    if (error == http::error::need_buffer)
      error = {};
    m_body.resize(old_size + kRelayBufferBytes - m_response->get().body().size);
  }
  co_return error;
}

void Attempt::ReadLoad(ResponseKind kind) {
  LoadReport& load = m_end_event.load;
  load = m_dialect.ReadLoad(m_response->get());
  if (load.incarnation == 0)
    load.incarnation = m_target.incarnation;
  const bool takes_no_more = load.draining || load.hold_off > std::chrono::milliseconds::zero();
  if (takes_no_more && kind != ResponseKind::kWrongEndpoint)
    m_engine.Post(Event::EndpointReported{m_engine.Now(), m_target.endpoint, load});
  // It counts from now, not from the end of the response.
  load.hold_off = {};
}

void Attempt::LimitWaitAfterInterim() {
  // No request asks for interim responses (Expect is not passed on), so this one may come from a failing endpoint.
  if (!m_exchange.MayTryElsewhere())
    return;
  const TimePoint now = m_engine.Now();
  m_connection->stream.expires_at(now + (m_target.deadline - now) / 2);
}

AttemptResult Attempt::ResultForError(const error_code& error) const {
  if (m_cancelled)
    return AttemptResult::kCancelled;
  if (error == beast::error::timeout || m_engine.Now() >= m_target.deadline)
    return m_awaits_final_response ? AttemptResult::kMalformed : AttemptResult::kTimedOut;
  const bool transport_error = error == http::error::end_of_stream || error == http::error::partial_message ||
                               error.category() != http::make_error_code(http::error::end_of_stream).category();
  return transport_error ? AttemptResult::kBroken : AttemptResult::kMalformed;
}

asio::awaitable<error_code> Attempt::DiscardResponseBody() {
  std::array<char, 2'048> scratch{};
  error_code error;
  for (int reads = 0; !m_response->is_done() && !error && reads < kMaxDiscardReads; ++reads) {
    m_response->get().body().data = scratch.data();
    m_response->get().body().size = scratch.size();
    co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_response, AwaitWithError(error));
    if (error == http::error::need_buffer)
      error = {};
  }
  if (!error && !m_response->is_done())
    error = http::error::body_limit;
  co_return error;
}

asio::awaitable<AttemptResult> Attempt::RelayResponse() {
  RemoveHopByHopHeaders(m_answer_head);
  m_answer_head.version(11);
  http::response<http::buffer_body> answer(std::move(m_answer_head));
  answer.keep_alive(m_exchange.KeepAlive());
  if (m_target.record_answer)
    StartRecording(answer);
  if (!m_response->is_done()) {
    // The caller's connection may stay open, so its end cannot delimit the body as the endpoint's does.
    if (m_response->need_eof())
      answer.chunked(true);
    co_return co_await RelayRemainingBody(answer);
  }
  // Responses to HEAD, and 204 and 304, have no body even if Content-Length says otherwise.
  const bool has_body = !m_body.empty() || m_response->need_eof() || m_response->chunked();
  if (has_body) {
    answer.chunked(false);
    answer.content_length(m_body.size());
  }
  answer.body().data = m_body.empty() ? nullptr : m_body.data();
  answer.body().size = m_body.size();
  answer.body().more = false;
  if (m_recording != nullptr && m_body.size() <= kMaxRecordedBodyBytes)
    m_recording->body = m_body;
  else
    m_recording.reset();
  http::response_serializer<http::buffer_body> serializer(answer);
  co_await WriteToCaller(serializer);
  m_end_event.answer = m_recording;
  co_return AttemptResult::kAnswered;
}

asio::awaitable<AttemptResult> Attempt::RelayRemainingBody(http::response<http::buffer_body>& answer) {
  http::response_serializer<http::buffer_body> serializer(answer);
  std::array<char, kRelayBufferBytes> relay_buffer;
  CallerStream& caller = m_exchange.Caller();
  error_code error;
  // The body exceeds the limit for recorded responses.
  m_recording.reset();
  answer.body().data = m_body.data();
  answer.body().size = m_body.size();
  answer.body().more = true;
  co_await WriteToCaller(serializer);
  while (!m_response->is_done()) {
    m_response->get().body().data = relay_buffer.data();
    m_response->get().body().size = relay_buffer.size();
    co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_response, AwaitWithError(error));
    if (error == http::error::need_buffer)
      error = {};
    // The timer of the stream may never be seen to fire while bytes are always ready to be read.
    if (!error && !m_response->is_done() && m_engine.Now() >= m_target.deadline)
      error = beast::error::timeout;
    if (error && m_exchange.ResponseStarted()) {
      const AttemptResult failed = ResultForError(error);
      co_return failed == AttemptResult::kBroken || failed == AttemptResult::kMalformed ? AttemptResult::kBrokenInAnswer
                                                                                        : failed;
    }
    if (error)
      co_return ResultForError(error);
    const size_t size = relay_buffer.size() - m_response->get().body().size;
    answer.body().data = size == 0 ? nullptr : relay_buffer.data();
    answer.body().size = size;
    answer.body().more = !m_response->is_done();
    co_await WriteToCaller(serializer);
    if (caller.disconnected && m_exchange.IsRepeatSafe())
      co_return AttemptResult::kCancelled;
  }
  m_end_event.answer = m_recording;
  co_return AttemptResult::kAnswered;
}

asio::awaitable<void> Attempt::WriteToCaller(http::response_serializer<http::buffer_body>& serializer) {
  CallerStream& caller = m_exchange.Caller();
  if (caller.disconnected)
    co_return;
  m_exchange.SetResponseStarted();
  error_code error;
  caller.stream.expires_at(m_target.deadline);
  co_await http::async_write(caller.stream, serializer, AwaitWithError(error));
  if (error && error != http::error::need_buffer)
    caller.disconnected = true;
}

void Attempt::StartRecording(const http::response<http::buffer_body>& answer) {
  m_recording = std::make_shared<RecordedAnswer>();
  m_recording->status = static_cast<uint16_t>(answer.result_int());
  for (const auto& field : answer) {
    const bool framing = field.name() == http::field::transfer_encoding ||
                         field.name() == http::field::content_length || field.name() == http::field::connection;
    if (!framing)
      m_recording->headers.emplace_back(field.name_string(), field.value());
  }
}

void Attempt::ReturnConnectionIfReusable() {
  const bool reusable = m_response->is_done() && m_request_fully_sent && m_response->keep_alive() &&
                        m_connection->buffer.size() == 0 && !m_cancelled && !m_end_event.load.draining;
  if (reusable)
    m_pool.Return(m_target.address, std::move(m_connection));
}

}  // namespace sassafras
