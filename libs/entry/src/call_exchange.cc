#include "call_exchange.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "attempt.h"
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
                           std::unique_ptr<Parser> request)
    : m_engine(engine),
      m_pool(pool),
      m_dialect(dialect),
      m_connect_timeout(connect_timeout),
      m_caller(std::move(caller)),
      m_request(std::move(request)),
      m_ended(m_caller->stream.get_executor(), TimePoint::max()),
      m_hedge(m_caller->stream.get_executor()),
      m_ask(m_caller->stream.get_executor()) {}

CallExchange::~CallExchange() {
  if (m_ticket != 0)
    m_engine.Forget(m_ticket);
}

void CallExchange::Submit(PlanHandle plan, Duration limit, uint64_t fingerprint, const Idempotency& idempotency) {
  m_plan = plan;
  m_repeat_safe = m_engine.GetState().PlanRow(plan).repeat == Repeat::kSafe;
  m_ticket = m_engine.Register(*this);
  Event::CallArrived event;
  m_received_at = m_engine.Now();
  event.now = m_received_at;
  event.ticket = m_ticket;
  event.plan = plan;
  event.time_left = limit;
  event.fingerprint = fingerprint;
  event.replayable = BodyComplete();
  event.idempotency = idempotency;
  m_engine.Post(std::move(event));
}

asio::awaitable<CallExchange::End> CallExchange::Wait() {
  error_code ignored;
  while (m_end == End::kPending)
    co_await m_ended.async_wait(Awaiting(ignored));
  WriteLog();
  co_return m_end;
}

void CallExchange::WriteLog() {
  const State& state = m_engine.GetState();
  const std::string_view id = m_dialect.RequestId(m_request->get());
  const Duration took = m_engine.Now() - m_received_at;
  if (m_end == End::kAnswered || m_end == End::kRecorded)
    m_log.WriteAnswered(id, state, m_plan, m_status, took);
  else if (m_end == End::kGone)
    m_log.WriteGone(id, state, m_plan, took);
  else
    m_log.WriteRejected(id, state, m_plan, m_rejection, took);
}

void CallExchange::NoteEnd(std::string_view endpoint, AttemptResult result, unsigned status, Duration took) {
  m_log.AddEnd(endpoint, result, status, took);
  m_status = status;
}

void CallExchange::SetEnd(End end) {
  if (m_end != End::kPending)
    return;
  m_end = end;
  m_ended.cancel();
  m_hedge.cancel();
  m_ask.cancel();
}

void CallExchange::CallerGone() {
  m_caller->gone = true;
  m_engine.Post(Event::CallerGone{m_engine.Now(), m_call});
  if (!m_repeat_safe && !m_attempts.empty())
    return;
  for (const auto& attempt : m_attempts)
    attempt->Cancel();
  SetEnd(End::kGone);
}

bool CallExchange::Claim(const Attempt& attempt) {
  // The answer of a cancelled attempt may have come in just before it was cancelled.
  const bool taken = m_claimed_by != nullptr && m_claimed_by != &attempt;
  if (taken || m_end != End::kPending)
    return false;
  m_claimed_by = &attempt;
  m_hedge.cancel();
  for (const auto& other : m_attempts) {
    if (other.get() != &attempt)
      other->Cancel();
  }
  return true;
}

void CallExchange::ReleaseClaim(const Attempt& attempt) {
  if (m_claimed_by == &attempt)
    m_claimed_by = nullptr;
}

void CallExchange::Report(const Attempt& attempt, Event::AttemptEnded ended) {
  std::erase_if(m_attempts, [&](const auto& known) { return known.get() == &attempt; });
  ReleaseClaim(attempt);
  ended.now = m_engine.Now();
  ended.call = m_call;
  m_engine.Post(std::move(ended));
}

void CallExchange::OnDispatch(const Effect::Dispatch& dispatch) {
  AttemptTarget target;
  target.endpoint = dispatch.endpoint;
  target.address = m_engine.GetState().EndpointRow(dispatch.endpoint).address;
  target.name = m_engine.GetState().EndpointRow(dispatch.endpoint).name;
  target.deadline = dispatch.deadline;
  m_log.AddAttempt(target.name, dispatch.basis);
  target.connect_timeout = m_connect_timeout;
  target.keep_answer = dispatch.keep_answer;
  auto attempt = std::make_shared<Attempt>(*this, m_engine, m_pool, m_dialect, std::move(target));
  m_attempts.push_back(attempt);
  if (dispatch.hedge_at != TimePoint::max())
    ArmHedge(dispatch.hedge_at);
  asio::co_spawn(m_caller->stream.get_executor(), RunAttempt(std::move(attempt)), asio::detached);
}

asio::awaitable<void> CallExchange::RunAttempt(std::shared_ptr<Attempt> attempt) {
  // Keeps this exchange alive until the attempt has ended.
  const std::shared_ptr<CallExchange> self = shared_from_this();
  co_await attempt->Run();
}

void CallExchange::ArmHedge(TimePoint hedge_at) {
  m_hedge.expires_at(hedge_at);
  m_hedge.async_wait([weak = weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (error || self == nullptr || self->m_claimed_by != nullptr || self->m_end != End::kPending)
      return;
    self->m_engine.Post(Event::HedgeDue{self->m_engine.Now(), self->m_call});
  });
}

void CallExchange::OnArmAsk(TimePoint at) {
  m_ask.expires_at(at);
  m_ask.async_wait([weak = weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (!error && self != nullptr && self->m_end == End::kPending)
      self->m_engine.Post(Event::LoadQueryTimeout{self->m_engine.Now(), self->m_call});
  });
}

void CallExchange::OnReject(const Effect::Reject& reject) {
  m_rejection = reject;
  SetEnd(m_answer_started ? End::kCut : End::kRejected);
}

void CallExchange::OnRecorded(std::shared_ptr<const RecordedAnswer> answer) {
  m_recorded = std::move(answer);
  SetEnd(End::kRecorded);
}

}  // namespace sassafras
