#include "caller_session.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "admin_pages.h"
#include "base/error.h"
#include "base/log.h"
#include "call_log.h"
#include "core/state.h"
#include "engine.h"
#include "entry/http_dialect.h"
#include "lists/caller_limits.h"
#include "lists/plan.h"
#include "long_fields.h"
#include "read_deadline.h"
#include "request_parsing.h"
#include "session_limits.h"

namespace sassafras {
namespace {

/** Size of the read that waits for the next request on an idle connection. */
constexpr size_t kIdleReadBytes = 4'096;
/**
 * Longest time for which the rest of a request is read and dropped after its response. A connection that is closed with
 * unread bytes is reset, and the caller may lose the response.
 */
constexpr std::chrono::seconds kUnreadDiscardTime{1};
constexpr size_t kMaxUnreadDiscardBytes = 1u << 20u;
/** An idle timeout that is handled later than this after it has passed is logged. */
constexpr std::chrono::milliseconds kLateTimeout{20};
/** Longest time for a request that no plan covers. */
constexpr std::chrono::hours kMaxRequestTime{1};
constexpr std::string_view kPagePrefix = "/sassafras/";
constexpr int kHttpVersionNotSupported = 505;
constexpr int kNotImplemented = 501;
constexpr uint16_t kServiceUnavailable = 503;
constexpr uint16_t kTooManyRequests = 429;
constexpr uint16_t kUnauthorized = 401;
constexpr std::chrono::milliseconds kDefaultRetryAfter{1'000};
constexpr uint16_t kRequestTimeout = 408;
constexpr uint16_t kContentTooLarge = 413;
constexpr uint16_t kUriTooLong = 414;
constexpr uint16_t kRequestHeaderFieldsTooLarge = 431;

std::string_view ToStringView(beast::string_view text) {
  return {text.data(), text.size()};
}

/** Maps an error from reading the `part` "head" or "body" of a request to the error response for it. */
Rejection ReadRejection(std::string_view part, const error_code& error) {
  Rejection rejection;
  rejection.remedy = fmt::format("request {}: {}", part, error.message());
  if (error == http::error::header_limit)
    rejection.status = kRequestHeaderFieldsTooLarge;
  else if (error == http::error::body_limit)
    rejection.status = kContentTooLarge;
  else if (error == beast::error::timeout)
    rejection.status = kRequestTimeout;
  return rejection;
}

std::string_view Text(const http::fields& fields, http::field name) {
  const auto value = fields[name];
  return {value.data(), value.size()};
}

/** Host of a request without its port. */
std::string_view HostOf(const http::fields& fields) {
  const std::string_view host = Text(fields, http::field::host);
  return host.substr(0, host.rfind(':'));
}

/** Sends the caller on to the owner of its key. */
void SetLocation(Rejection& rejection, std::string_view owner_address, std::string_view target) {
  std::string location = fmt::format("http://{}{}", owner_address, target);
  if (location.size() <= kMaxStoredValueBytes) {
    rejection.location = std::move(location);
    return;
  }
  rejection.status = kUriTooLong;
  rejection.remedy = fmt::format("send the request to {} yourself, or shorten its target", owner_address);
}

std::string RejectionBody(Reason reason, std::string_view custom_remedy) {
  const ReasonInfo& info = InfoOf(reason);
  const std::string remedy(custom_remedy.empty() ? info.remedy : custom_remedy);
  return boost::json::serialize(
      boost::json::object{{"outcome", OutcomeName(info.outcome)}, {"reason", info.name}, {"remedy", remedy}});
}

}  // namespace

CallerSession::CallerSession(asio::ip::tcp::socket socket,
                             Engine& engine,
                             UpstreamPool& pool,
                             const HttpDialect& dialect,
                             const AdminPages& pages,
                             SessionKind kind,
                             std::chrono::milliseconds connect_timeout)
    : m_caller(std::make_shared<CallerStream>(std::move(socket))),
      m_engine(engine),
      m_pool(pool),
      m_dialect(dialect),
      m_pages(pages),
      m_kind(kind),
      m_connect_timeout(connect_timeout) {}

void CallerSession::Close() {
  m_closing = true;
  // Only cancels the read; Run() closes the connection, since a request may just have arrived.
  if (m_idle)
    m_caller->stream.cancel();
}

asio::awaitable<void> CallerSession::Run() {
  error_code ignored;
  m_caller->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  bool more = true;
  while (more && !m_closing) {
    more = co_await WaitForRequest();
    if (more)
      more = co_await ServeRequest();
  }
  m_caller->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  if (m_request_unread)
    co_await DiscardUnread();
  m_caller->stream.close();
}

asio::awaitable<void> CallerSession::DiscardUnread() {
  m_caller->stream.expires_after(kUnreadDiscardTime);
  m_caller->buffer.clear();
  error_code error;
  size_t discarded = 0;
  while (!error && discarded < kMaxUnreadDiscardBytes)
    discarded +=
        co_await m_caller->stream.async_read_some(m_caller->buffer.prepare(kIdleReadBytes), AwaitWithError(error));
}

asio::awaitable<bool> CallerSession::WaitForRequest() {
  if (m_caller->buffer.size() > 0)
    co_return true;
  Duration waited{};
  bool ended = false;
  do {
    const Duration limit = m_engine.GetState().Limits().idle_timeout;
    ended = co_await ReadWithin(limit - waited);
    waited = limit;
    // New lists may have raised the limit, and callers use the connection for as long as it says.
  } while (!ended && !m_closing && waited < m_engine.GetState().Limits().idle_timeout);
  co_return m_caller->buffer.size() > 0;
}

asio::awaitable<bool> CallerSession::ReadWithin(Duration limit) {
  // The timeout of the stream would close the connection, even if the read has taken bytes from the socket already.
  const ReadDeadline deadline(*m_caller, limit);
  m_idle = true;
  error_code error;
  const size_t size =
      co_await m_caller->stream.async_read_some(m_caller->buffer.prepare(kIdleReadBytes), AwaitWithError(error));
  m_caller->buffer.commit(size);
  m_idle = false;
  if (error != asio::error::operation_aborted)
    co_return true;
  const bool more = ReadAvailable();
  if (deadline.Resolve(error) == beast::error::timeout)
    LogIdleTimeout(deadline.Lateness());
  co_return more;
}

void CallerSession::LogIdleTimeout(Duration late) const {
  const size_t read_bytes = m_caller->buffer.size();
  if (read_bytes == 0 && late < kLateTimeout)
    return;
  Log(LogLevel::kWarning, "idle_timeout",
      {{"late_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(late).count())},
       {"read_bytes", std::to_string(read_bytes)},
       {"generation", std::to_string(m_engine.GetState().Generation())}},
      LogClass::kRequestProblem);
}

bool CallerSession::ReadAvailable() {
  error_code error;
  m_caller->stream.socket().non_blocking(true, error);
  const size_t size = m_caller->stream.socket().read_some(m_caller->buffer.prepare(kIdleReadBytes), error);
  m_caller->buffer.commit(size);
  return size > 0;
}

asio::awaitable<bool> CallerSession::ServeRequest() {
  const CallerLimits& limits = m_engine.GetState().Limits();
  auto parser = std::make_unique<RequestParser>();
  parser->header_limit(limits.header_bytes);
  if (limits.body_bytes > 0)
    parser->body_limit(limits.body_bytes);
  else
    parser->body_limit(boost::none);
  if (const error_code error = co_await ReadRequestHead(*parser)) {
    if (error != http::error::end_of_stream)
      co_await RejectUnread(*parser, ReadRejection("head", error));
    co_return false;
  }
  if (!UseOriginForm(parser->get())) {
    Rejection rejection{.status = kUriTooLong, .remedy = "shorten the host in the request target"};
    co_await RejectUnread(*parser, std::move(rejection));
    co_return false;
  }
  const auto& head = parser->get();
  // Where such a body ends cannot be known, so its bytes could be taken for requests of their own.
  if (head.find(http::field::transfer_encoding) != head.end() && !parser->chunked()) {
    Rejection rejection{.remedy = "send the body in chunks or with a length, without other codings"};
    co_await RejectUnread(*parser, std::move(rejection));
    co_return false;
  }
  if (head.version() != 11) {
    co_await WriteTextResponse(kHttpVersionNotSupported, "text/plain", "use HTTP/1.1\n", false);
    co_return false;
  }
  if (head.method() == http::verb::connect || http::token_list(head[http::field::connection]).exists("upgrade")) {
    co_await WriteTextResponse(kNotImplemented, "text/plain",
                               "upgrades and tunnels are not served; send plain requests\n", false);
    co_return false;
  }
  const bool is_page = m_kind == SessionKind::kPages ||
                       (m_kind == SessionKind::kCallsAndPages && ToStringView(head.target()).starts_with(kPagePrefix));
  if (is_page)
    co_return co_await ServePage(*parser);
  co_return co_await ServeCall(std::move(parser));
}

asio::awaitable<error_code> CallerSession::ReadRequestHead(RequestParser& parser) {
  const ReadDeadline deadline(*m_caller, m_engine.GetState().Limits().header_timeout);
  error_code error;
  co_await http::async_read_header(m_caller->stream, m_caller->buffer, parser, AwaitWithError(error));
  co_return deadline.Resolve(error);
}

asio::awaitable<bool> CallerSession::ServePage(RequestParser& parser) {
  const Page page = m_pages.Render(ToStringView(parser.get().target()));
  const bool keep_alive = parser.is_done() && parser.get().keep_alive() && !m_closing;
  co_return co_await WriteTextResponse(page.status, page.content_type, page.body, keep_alive);
}

asio::awaitable<error_code> CallerSession::BufferRequestBody(CallExchange& exchange, TimePoint call_deadline) {
  RequestParser& parser = exchange.Request();
  std::string& body = exchange.Body();
  error_code error;
  if (parser.get()[http::field::expect] == "100-continue" && !parser.is_done()) {
    http::response<http::empty_body> continue_response(http::status::continue_, 11);
    m_caller->stream.expires_after(kLocalResponseWriteTimeout);
    co_await http::async_write(m_caller->stream, continue_response, AwaitWithError(error));
  }
  constexpr size_t kReadBytes = 8u << 10u;
  while (!error && !parser.is_done() && body.size() < kMaxBufferedRequestBytes) {
    const size_t old_size = body.size();
    body.resize(old_size + kReadBytes);
    parser.get().body().data = body.data() + old_size;
    parser.get().body().size = kReadBytes;
    const Duration pause_limit = m_engine.GetState().Limits().header_timeout;
    const ReadDeadline deadline(*m_caller, std::min(pause_limit, call_deadline - m_engine.Now()));
    co_await http::async_read_some(m_caller->stream, m_caller->buffer, parser, AwaitWithError(error));
    error = deadline.Resolve(error);
    if (error == http::error::need_buffer)
      error = {};
    body.resize(old_size + kReadBytes - parser.get().body().size);
  }
  co_return error;
}

Duration CallerSession::PlanDeadline(const http::fields& fields,
                                     std::string_view method,
                                     std::string_view target) const {
  const State& state = m_engine.GetState();
  const PlanHandle plan = state.FindPlan(HostOf(fields), method, PathOf(target));
  return plan.IsValid() ? state.PlanConfig(plan).deadline : kMaxRequestTime;
}

bool CallerSession::IsLeaving() const {
  const Phase phase = m_engine.GetState().CurrentPhase();
  return m_closing || phase == Phase::kLeaving || phase == Phase::kClosing;
}

asio::awaitable<bool> CallerSession::ServeCall(std::unique_ptr<RequestParser> parser) {
  const bool keep_alive = parser->get().keep_alive() && !IsLeaving();
  const std::string method(ToStringView(parser->get().method_string()));
  const std::string target(ToStringView(parser->get().target()));
  auto exchange =
      std::make_shared<CallExchange>(m_engine, m_pool, m_dialect, m_connect_timeout, m_caller, std::move(parser));
  exchange->SetKeepAlive(keep_alive);
  const http::fields& fields = exchange->Head();
  const TimePoint head_read_at = m_engine.Now();
  const auto time_left = m_dialect.ReadTimeLeft(fields);
  const Duration limit = std::min<Duration>(time_left.value_or(Duration::max()), PlanDeadline(fields, method, target));
  if (const error_code error = co_await BufferRequestBody(*exchange, head_read_at + limit)) {
    co_await RejectUnread(exchange->Request(), ReadRejection("body", error));
    co_return false;
  }
  const bool connection_reusable = keep_alive && exchange->BodyComplete();
  if (!time_left.ok()) {
    const Rejection rejection{.remedy = MessageOf(time_left.status())};
    co_return co_await RejectRequest(exchange->Request(), rejection, connection_reusable);
  }
  const auto idempotency =
      m_dialect.TakesIdempotencyKeys() ? ReadIdempotency(fields, method, PathOf(target)) : Idempotency();
  if (!idempotency.ok()) {
    const bool missing = fields.find(kOwnerHeader) == fields.end();
    const Rejection rejection{.reason = missing ? Reason::kOwnerMissing : Reason::kBadOwner,
                              .remedy = MessageOf(idempotency.status())};
    co_return co_await RejectRequest(exchange->Request(), rejection, connection_reusable);
  }
  const PlanHandle plan = m_engine.GetState().FindPlan(HostOf(fields), method, PathOf(target));
  exchange->Submit(plan, head_read_at, *time_left, RequestFingerprint(method, target, exchange->Body()), *idempotency);
  if (exchange->BodyComplete())
    WatchForDisconnect(exchange);
  const CallExchange::Completion completion = co_await exchange->WaitForCompletion();
  m_request_unread = !exchange->BodyComplete() && completion != CallExchange::Completion::kTruncated;
  co_return co_await FinishCall(*exchange, completion);
}

asio::awaitable<bool> CallerSession::FinishCall(CallExchange& exchange, CallExchange::Completion completion) {
  const bool keep_alive = exchange.KeepAlive() && exchange.BodyComplete() && !IsLeaving();
  const bool head_request = exchange.Request().get().method() == http::verb::head;
  switch (completion) {
    case CallExchange::Completion::kAnswered:
      co_return exchange.KeepAlive() && exchange.BodyComplete();
    case CallExchange::Completion::kRejected: {
      const Effect::Reject& reject = exchange.Rejection();
      Rejection rejection{.reason = reject.reason, .retry_after = reject.retry_after};
      if (reject.reason == Reason::kRedirectToOwner)
        SetLocation(rejection, reject.owner_address, ToStringView(exchange.Request().get().target()));
      co_return co_await WriteRejection(exchange.Request(), std::move(rejection), keep_alive);
    }
    case CallExchange::Completion::kRecorded:
      co_return co_await WriteRecorded(*exchange.Recorded(), head_request, keep_alive);
    case CallExchange::Completion::kTruncated: {
      // Resets the connection: a caller could take an orderly close for the end of the response.
      error_code ignored;
      m_caller->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
      co_return false;
    }
    case CallExchange::Completion::kPending:
    case CallExchange::Completion::kCallerGone:
      break;
  }
  co_return false;
}

void CallerSession::WatchForDisconnect(const std::shared_ptr<CallExchange>& exchange) {
  if (m_caller->buffer.size() > 0)
    return;
  auto wait = [caller = m_caller, weak = std::weak_ptr(exchange)](error_code error) {
    const auto call = weak.lock();
    if (error || call == nullptr)
      return;
    char byte = 0;
    caller->stream.socket().non_blocking(true, error);
    const size_t size = caller->stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    // Received bytes are the next request of a pipelining caller; end of stream or an error is a disconnect.
    if (size == 0 && error != asio::error::would_block)
      call->OnCallerGone();
  };
  m_caller->stream.socket().async_wait(asio::socket_base::wait_read, std::move(wait));
}

asio::awaitable<bool> CallerSession::WriteTextResponse(int status,
                                                       std::string content_type,
                                                       std::string body,
                                                       bool keep_alive) {
  http::response<http::string_body> response(static_cast<http::status>(status), 11);
  response.set(http::field::content_type, content_type);
  response.set(http::field::cache_control, "no-store");
  response.keep_alive(keep_alive);
  response.body() = std::move(body);
  response.prepare_payload();
  m_caller->stream.expires_after(kLocalResponseWriteTimeout);
  error_code error;
  co_await http::async_write(m_caller->stream, response, AwaitWithError(error));
  co_return !error && keep_alive;
}

uint16_t CallerSession::StatusOf(const Rejection& rejection) const {
  return rejection.status > 0 ? rejection.status : m_dialect.HttpStatusFor(rejection.reason);
}

asio::awaitable<bool> CallerSession::RejectRequest(const RequestParser& request, Rejection rejection, bool keep_alive) {
  LogRejectedRequest(m_dialect.RequestId(request.get()), m_engine.GetState(), rejection, StatusOf(rejection),
                     m_engine.Now());
  co_return co_await WriteRejection(request, std::move(rejection), keep_alive);
}

asio::awaitable<void> CallerSession::RejectUnread(const RequestParser& request, Rejection rejection) {
  m_request_unread = true;
  co_await RejectRequest(request, std::move(rejection), false);
}

asio::awaitable<bool> CallerSession::WriteRejection(const RequestParser& request,
                                                    Rejection rejection,
                                                    bool keep_alive) {
  const uint16_t status = StatusOf(rejection);
  http::response<http::string_body> response(static_cast<http::status>(status), 11);
  response.set(http::field::content_type, "application/json");
  response.set("Sassafras-Outcome", OutcomeName(InfoOf(rejection.reason).outcome));
  response.set("Sassafras-Reason", InfoOf(rejection.reason).name);
  m_dialect.CopyCorrelationHeaders(request.get(), response);
  if (!rejection.location.empty())
    response.set(http::field::location, rejection.location);
  if (status == kUnauthorized)
    response.set(http::field::www_authenticate, "Bearer");
  if (status == kServiceUnavailable || status == kTooManyRequests) {
    const auto retry_after = rejection.retry_after.count() > 0 ? rejection.retry_after : kDefaultRetryAfter;
    const double seconds = std::chrono::duration<double>(retry_after).count();
    response.set(http::field::retry_after, fmt::format("{:.3f}", seconds));
  }
  response.keep_alive(keep_alive);
  response.body() = RejectionBody(rejection.reason, rejection.remedy);
  response.prepare_payload();
  m_caller->stream.expires_after(kLocalResponseWriteTimeout);
  error_code error;
  co_await http::async_write(m_caller->stream, response, AwaitWithError(error));
  co_return !error && keep_alive;
}

asio::awaitable<bool> CallerSession::WriteRecorded(const RecordedAnswer& recorded, bool head_request, bool keep_alive) {
  http::response<http::string_body> response(static_cast<http::status>(recorded.status), 11);
  for (const auto& [name, value] : recorded.headers)
    response.insert(name, value);
  response.set("Sassafras-Recorded", "1");
  response.keep_alive(keep_alive);
  if (!head_request)
    response.body() = recorded.body;
  response.prepare_payload();
  m_caller->stream.expires_after(kLocalResponseWriteTimeout);
  error_code error;
  co_await http::async_write(m_caller->stream, response, AwaitWithError(error));
  co_return !error && keep_alive;
}

}  // namespace sassafras
