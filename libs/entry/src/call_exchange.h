#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "call_log.h"
#include "call_sink.h"
#include "caller_stream.h"
#include "core/event.h"
#include "core/idempotency.h"
#include "core/recorded_answer.h"
#include "http_types.h"
#include "request_parser.h"

namespace sassafras {

class Attempt;
class Engine;
class HttpDialect;
class UpstreamPool;

/** Handles one caller request: runs its attempts at endpoints and delivers at most one response. */
class CallExchange final : public CallSink, public std::enable_shared_from_this<CallExchange> {
 public:
  /** How the call ended; tells the session what to do with the caller's connection. */
  enum class Completion : uint8_t {
    kPending,
    /** The complete response was written to the caller. */
    kAnswered,
    /** Only a part of the response was written; the connection must be closed. */
    kTruncated,
    /** The session writes an error response for Rejection(). */
    kRejected,
    /** The session writes the response returned by Recorded(). */
    kRecorded,
    /** The caller disconnected; nothing is written. */
    kCallerGone,
  };

  CallExchange(Engine& engine,
               UpstreamPool& pool,
               const HttpDialect& dialect,
               std::chrono::milliseconds connect_timeout,
               std::shared_ptr<CallerStream> caller,
               std::unique_ptr<RequestParser> request);
  ~CallExchange() override;

  /** Request body read so far; the complete body if BodyComplete(). */
  std::string& Body() { return m_body; }
  bool BodyComplete() const { return m_request->is_done(); }
  RequestParser& Request() { return *m_request; }
  /** The head of the request as it was received; of the values of long fields, only a part (see RequestParser). */
  const http::request_header<>& Head() const { return m_request->get(); }
  CallerStream& Caller() { return *m_caller; }
  bool KeepAlive() const { return m_keep_alive; }
  void SetKeepAlive(bool keep_alive) { m_keep_alive = keep_alive; }

  /**
   * Submits the call to the reducer.
   * @param plan       plan that matches the request; invalid if none does
   * @param received_at  when the request head had been read
   * @param time_left    time that the caller will wait, from then on
   */
  void Submit(PlanHandle plan,
              TimePoint received_at,
              Duration time_left,
              uint64_t fingerprint,
              const Idempotency& idempotency);
  /** Waits until the call has ended. */
  asio::awaitable<Completion> WaitForCompletion();
  /** Handles that the caller closed its connection while the call was in progress. */
  void OnCallerGone();

  /** When the call was submitted, after its request head and the buffered part of its body had been read. */
  TimePoint SubmittedAt() const { return m_submitted_at; }

  const Effect::Reject& Rejection() const { return m_rejection; }
  const std::shared_ptr<const RecordedAnswer>& Recorded() const { return m_recorded; }

  // The functions from here on are called by attempts.
  /**
   * Selects this attempt, for good, to answer the caller and cancels the others. False if another one was selected
   * before, or the call has ended.
   */
  bool Claim(const Attempt& attempt);
  /** Adds the end of an attempt to the call's log line. */
  void LogAttemptEnd(std::string_view endpoint, AttemptResult result, unsigned status, Duration elapsed);
  /** Reports the end of an attempt to the reducer. */
  void ReportAttemptEnd(const Attempt& attempt, Event::AttemptEnded ended);
  void Complete(Completion completion);
  CallHandle Call() const { return m_call; }
  /**
   * Removes the API key and the caller's account headers from the head of an attempt, and sets the name of the account;
   * without accounts in the lists, leaves the head unchanged. On a public route, a key that may be revoked names none.
   */
  void SetAccount(http::request_header<>& head) const;
  bool HasRunningAttempts() const { return !m_attempts.empty(); }
  bool IsRepeatSafe() const { return m_repeat_safe; }
  /** Whether the call may be retried at another endpoint after its first attempt, which is running. */
  bool MayTryElsewhere() const { return m_repeat_safe && m_attempts_made == 1 && m_max_attempts > 1 && BodyComplete(); }
  bool ResponseStarted() const { return m_response_started; }
  void SetResponseStarted() { m_response_started = true; }

  void OnAccepted(CallHandle call) override { m_call = call; }
  void OnDispatch(const Effect::Dispatch& dispatch) override;
  void OnReject(const Effect::Reject& reject) override;
  void OnArmProbeWaitTimer(TimePoint at) override;
  void OnSendRecordedAnswer(std::shared_ptr<const RecordedAnswer> answer) override;

 private:
  void WriteLogLine();
  asio::awaitable<void> RunAttempt(std::shared_ptr<Attempt> attempt);
  void ScheduleHedge(TimePoint hedge_at);

  Engine& m_engine;
  UpstreamPool& m_pool;
  const HttpDialect& m_dialect;
  std::chrono::milliseconds m_connect_timeout;
  std::shared_ptr<CallerStream> m_caller;
  std::unique_ptr<RequestParser> m_request;
  std::string m_body;
  bool m_keep_alive = true;
  bool m_repeat_safe = false;
  size_t m_max_attempts = 0;
  size_t m_attempts_made = 0;
  TimePoint m_submitted_at{};
  /** Ticket from Engine::Register(); 0 before Submit(). */
  uint64_t m_ticket = 0;
  CallHandle m_call;
  Completion m_completion = Completion::kPending;
  Effect::Reject m_rejection;
  std::shared_ptr<const RecordedAnswer> m_recorded;
  asio::steady_timer m_completion_timer;
  asio::steady_timer m_hedge_timer;
  asio::steady_timer m_probe_wait_timer;
  std::vector<std::shared_ptr<Attempt>> m_attempts;
  /** Whether an attempt was selected to answer the caller. */
  bool m_answer_started = false;
  bool m_response_started = false;
  CallLog m_log;
  PlanHandle m_plan;
  /** Account named to endpoints; invalid if there is none. */
  AccountHandle m_account;
  /** Whether the lists had accounts when the call was submitted. */
  bool m_has_accounts = false;
  /** Status of the attempt that ended last; 0 if it read no response head. */
  unsigned m_last_attempt_status = 0;
};

}  // namespace sassafras
