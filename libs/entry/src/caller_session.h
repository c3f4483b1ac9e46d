#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "call_exchange.h"
#include "caller_stream.h"
#include "http_types.h"
#include "rejection.h"
#include "session_kind.h"

namespace sassafras {

class AdminPages;
class Engine;
class HttpDialect;
class UpstreamPool;

/** Serves one caller connection: reads requests one at a time and answers each of them. */
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(asio::ip::tcp::socket socket,
                Engine& engine,
                UpstreamPool& pool,
                const HttpDialect& dialect,
                const AdminPages& pages,
                SessionKind kind,
                std::chrono::milliseconds connect_timeout);

  asio::awaitable<void> Run();
  /** Closes the connection once a request that is in progress or has already arrived has been answered. */
  void Close();

 private:
  /** Waits until bytes of a request are in the buffer; returns false if the connection is to be closed without them. */
  asio::awaitable<bool> WaitForRequest();
  /** Reads bytes into the buffer; returns false if there are none within `limit` or before Close(). */
  asio::awaitable<bool> ReadWithin(Duration limit);
  /** Logs that the idle timeout ended the wait for a request, if it was handled late or bytes had arrived by then. */
  void LogIdleTimeout(Duration late) const;
  /** Reads bytes that have already arrived, without waiting; returns whether there were any. */
  bool ReadAvailable();
  asio::awaitable<bool> ServeRequest();
  /** Whether the instance stops and closes its connections soon, so that callers are told not to reuse them. */
  bool IsLeaving() const;
  asio::awaitable<bool> ServeCall(std::unique_ptr<RequestParser> parser);
  asio::awaitable<bool> ServePage(RequestParser& parser);
  asio::awaitable<bool> FinishCall(CallExchange& exchange, CallExchange::Completion completion);
  /** Reads the body up to the size that is buffered; returns the error that ended it early, if any. */
  asio::awaitable<error_code> BufferRequestBody(CallExchange& exchange, TimePoint call_deadline);
  asio::awaitable<error_code> ReadRequestHead(RequestParser& parser);
  /** Longest time that the request may take by the plan that covers it. */
  Duration PlanDeadline(const http::fields& fields, std::string_view method, std::string_view target) const;
  /** Reads and drops what still arrives of a request, until the caller closes or a short time has passed. */
  asio::awaitable<void> DiscardUnread();
  asio::awaitable<bool> WriteTextResponse(int status, std::string content_type, std::string body, bool keep_alive);
  /** HTTP status code of the response for `rejection`. */
  uint16_t StatusOf(const Rejection& rejection) const;
  /** Logs and rejects a request that has not become a call. */
  asio::awaitable<bool> RejectRequest(const RequestParser& request, Rejection rejection, bool keep_alive);
  /** Like RejectRequest(), for a request that was not read to its end: the connection is closed after the response. */
  asio::awaitable<void> RejectUnread(const RequestParser& request, Rejection rejection);
  asio::awaitable<bool> WriteRejection(const RequestParser& request, Rejection rejection, bool keep_alive);
  asio::awaitable<bool> WriteRecorded(const RecordedAnswer& recorded, bool head_request, bool keep_alive);
  void WatchForDisconnect(const std::shared_ptr<CallExchange>& exchange);

  std::shared_ptr<CallerStream> m_caller;
  Engine& m_engine;
  UpstreamPool& m_pool;
  const HttpDialect& m_dialect;
  const AdminPages& m_pages;
  SessionKind m_kind;
  std::chrono::milliseconds m_connect_timeout;
  bool m_idle = false;
  bool m_closing = false;
  /** Whether a part of the last request may still arrive although its response was written. */
  bool m_request_unread = false;
};

}  // namespace sassafras
