#include "call_exchange.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "attempt.h"
#include "base/hash.h"
#include "engine.h"
#include "entry/http_dialect.h"
#include "lists/endpoint.h"
#include "lists/plan.h"
#include "upstream_pool.h"

namespace sassafras {

CallExchange::CallExchange(Engine& engine,
                           UpstreamPool& pool,
                           const HttpDialect& dialect,
                           std::chrono::milliseconds connect_timeout,
                           std::shared_ptr<CallerStream> caller,
                           std::unique_ptr<RequestParser> request)
    : m_engine(engine),
      m_pool(pool),
      m_dialect(dialect),
      m_connect_timeout(connect_timeout),
      m_caller(std::move(caller)),
      m_request(std::move(request)),
      m_completion_timer(m_caller->stream.get_executor(), TimePoint::max()),
      m_hedge_timer(m_caller->stream.get_executor()),
      m_probe_wait_timer(m_caller->stream.get_executor()) {}

CallExchange::~CallExchange() {
  if (m_ticket != 0)
    m_engine.Unregister(m_ticket);
}

void CallExchange::Submit(PlanHandle plan,
                          TimePoint received_at,
                          Duration time_left,
                          uint64_t fingerprint,
                          const Idempotency& idempotency) {
  m_plan = plan;
  m_repeat_safe = plan.IsValid() && m_engine.GetState().PlanConfig(plan).repeat == Repeat::kSafe;
  const State& state = m_engine.GetState();
  const std::string_view api_key = state.HasAccounts() ? m_dialect.ReadApiKey(Head()) : std::string_view();
  const AccountHandle account = api_key.empty() ? AccountHandle() : state.FindAccount(api_key);
  m_log.SetAccount(account);
  m_log.SetAdmittedGeneration(state.Generation());
  m_has_accounts = state.HasAccounts();
  m_max_attempts = plan.IsValid() ? m_engine.GetState().PlanConfig(plan).max_attempts : 0;
  m_ticket = m_engine.Register(*this);
  Event::CallArrived event;
  m_submitted_at = m_engine.Now();
  event.now = m_submitted_at;
  // On a public route, which a call with a revoked key may use, such a key names no account.
  const bool needs_key = plan.IsValid() && !state.PlanConfig(plan).is_public;
  m_account = needs_key || state.AreKeysConfirmed(m_submitted_at) ? account : AccountHandle();
  event.ticket = m_ticket;
  event.plan = plan;
  event.account = account;
  event.api_key_hash = api_key.empty() ? 0 : Hash64(api_key);
  event.received_at = received_at;
  event.time_left = time_left;
  event.fingerprint = fingerprint;
  event.replayable = BodyComplete();
  event.idempotency = idempotency;
  // Accounts may choose the same idempotency keys.
  if (account.IsValid())
    event.idempotency.key_high = HashCombine(idempotency.key_high, Hash64(state.AccountName(account)));
  m_engine.Post(std::move(event));
}

asio::awaitable<CallExchange::Completion> CallExchange::WaitForCompletion() {
  error_code ignored;
  while (m_completion == Completion::kPending)
    co_await m_completion_timer.async_wait(AwaitWithError(ignored));
  WriteLogLine();
  co_return m_completion;
}

void CallExchange::WriteLogLine() {
  const State& state = m_engine.GetState();
  const std::string_view id = m_dialect.RequestId(Head());
  const Duration elapsed = m_engine.Now() - m_submitted_at;
  if (m_completion == Completion::kAnswered || m_completion == Completion::kRecorded)
    m_log.WriteAnswered(id, state, m_plan, m_last_attempt_status, elapsed);
  else if (m_completion == Completion::kCallerGone)
    m_log.WriteCallerGone(id, state, m_plan, elapsed);
  else
    m_log.WriteRejected(id, state, m_plan, m_rejection, elapsed);
}

void CallExchange::LogAttemptEnd(std::string_view endpoint, AttemptResult result, unsigned status, Duration elapsed) {
  m_log.AddAttemptEnd(endpoint, result, status, elapsed);
  m_last_attempt_status = status;
}

void CallExchange::Complete(Completion completion) {
  if (m_completion != Completion::kPending)
    return;
  m_completion = completion;
  m_completion_timer.cancel();
  m_hedge_timer.cancel();
  m_probe_wait_timer.cancel();
}

void CallExchange::OnCallerGone() {
  m_caller->disconnected = true;
  m_engine.Post(Event::CallerGone{m_engine.Now(), m_call});
  if (!m_repeat_safe && !m_attempts.empty())
    return;
  for (const auto& attempt : m_attempts)
    attempt->Cancel();
  Complete(Completion::kCallerGone);
}

bool CallExchange::Claim(const Attempt& attempt) {
  // The response of a cancelled attempt may have been received just before the cancellation.
  if (m_answer_started || m_completion != Completion::kPending)
    return false;
  m_answer_started = true;
  m_engine.Post(Event::AnswerStarted{m_engine.Now(), m_call});
  m_hedge_timer.cancel();
  for (const auto& other : m_attempts) {
    if (other.get() != &attempt)
      other->Cancel();
  }
  return true;
}

void CallExchange::ReportAttemptEnd(const Attempt& attempt, Event::AttemptEnded ended) {
  std::erase_if(m_attempts, [&](const auto& known) { return known.get() == &attempt; });
  ended.now = m_engine.Now();
  ended.call = m_call;
  m_engine.Post(std::move(ended));
}

void CallExchange::SetAccount(http::request_header<>& head) const {
  const State& state = m_engine.GetState();
  if (!m_has_accounts && !state.HasAccounts())
    return;
  // The account that the call was admitted for. Whether its key still holds has just been checked: a second check could
  // find that the confirmation has lapsed since, and the request would go out without its account.
  m_dialect.SetAccount(head, m_account.IsValid() ? state.AccountName(m_account) : std::string_view());
}

void CallExchange::OnDispatch(const Effect::Dispatch& dispatch) {
  AttemptTarget target;
  target.endpoint = dispatch.endpoint;
  target.address = m_engine.GetState().EndpointConfig(dispatch.endpoint).address;
  target.name = m_engine.GetState().EndpointConfig(dispatch.endpoint).name;
  target.incarnation = m_engine.GetState().EndpointIncarnation(dispatch.endpoint);
  target.deadline = dispatch.deadline;
  m_log.AddAttempt(target.name, dispatch.basis);
  target.connect_timeout = m_connect_timeout;
  target.record_answer = dispatch.record_answer;
  auto attempt = std::make_shared<Attempt>(*this, m_engine, m_pool, m_dialect, std::move(target));
  // An answer may have begun while this effect waited for its turn.
  if (m_answer_started)
    attempt->Cancel();
  m_attempts.push_back(attempt);
  ++m_attempts_made;
  if (dispatch.hedge_at != TimePoint::max())
    ScheduleHedge(dispatch.hedge_at);
  asio::co_spawn(m_caller->stream.get_executor(), RunAttempt(std::move(attempt)), asio::detached);
}

asio::awaitable<void> CallExchange::RunAttempt(std::shared_ptr<Attempt> attempt) {
  // Extends the life of this exchange until the attempt has ended.
  const std::shared_ptr<CallExchange> self = shared_from_this();
  co_await attempt->Run();
}

void CallExchange::ScheduleHedge(TimePoint hedge_at) {
  m_hedge_timer.expires_at(hedge_at);
  m_hedge_timer.async_wait([weak = weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (error || self == nullptr || self->m_answer_started || self->m_completion != Completion::kPending)
      return;
    self->m_engine.Post(Event::HedgeDue{self->m_engine.Now(), self->m_call});
  });
}

void CallExchange::OnArmProbeWaitTimer(TimePoint at) {
  m_probe_wait_timer.expires_at(at);
  m_probe_wait_timer.async_wait([weak = weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (!error && self != nullptr && self->m_completion == Completion::kPending)
      self->m_engine.Post(Event::ProbeWaitExpired{self->m_engine.Now(), self->m_call});
  });
}

void CallExchange::OnReject(const Effect::Reject& reject) {
  m_rejection = reject;
  Complete(m_response_started ? Completion::kTruncated : Completion::kRejected);
}

void CallExchange::OnSendRecordedAnswer(std::shared_ptr<const RecordedAnswer> answer) {
  m_recorded = std::move(answer);
  Complete(Completion::kRecorded);
}

}  // namespace sassafras
