#include "call_log.h"

#include <array>
#include <iterator>

#include <fmt/format.h>

#include "base/log.h"
#include "core/state.h"
#include "lists/plan.h"
#include "rejection.h"

namespace sassafras {
namespace {

constexpr unsigned kFirstServerErrorStatus = 500;

/** Indexed by AttemptResult. */
constexpr std::array<std::string_view, 10> kAttemptResultNames = {
    "answered",         "refused",   "not_sent",  "withdrawn", "broken",
    "broken_in_answer", "malformed", "timed_out", "cancelled", "aborted"};

double ToMillis(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

void LogRejectedRequest(std::string_view request_id,
                        const State& state,
                        const Rejection& rejection,
                        unsigned status,
                        TimePoint now) {
  if (!ShouldLog(LogClass::kRequestProblem))
    return;
  const ReasonInfo& info = InfoOf(rejection.reason);
  Log(LogLevel::kWarning, "request_rejected",
      {{"id", std::string(request_id)},
       {"outcome", std::string(OutcomeName(info.outcome))},
       {"detail", std::string(info.name)},
       {"status", std::to_string(status)},
       {"remedy", rejection.remedy},
       {"generation", std::to_string(state.Generation())},
       {"lists_age_ms", std::to_string(state.ListsAge(now).count())}},
      LogClass::kRequestProblem);
}

void CallLog::AddAttempt(std::string_view endpoint, const DispatchBasis& basis) {
  ++m_attempt_count;
  if (basis.hedge)
    m_hedge_endpoint = endpoint;
  fmt::format_to(std::back_inserter(m_trace),
                 "{}{}:{} asked={}/{} estimate={:.0f}ms slowdown={:.2f} used={:.2f} report_age={:.0f}ms;",
                 m_trace.empty() ? "" : " ", basis.hedge ? "hedge" : "attempt", endpoint, basis.answered, basis.asked,
                 ToMillis(basis.estimate), basis.slowdown, basis.utilization, ToMillis(basis.report_age));
}

void CallLog::AddAttemptEnd(std::string_view endpoint, AttemptResult result, unsigned status, Duration elapsed) {
  fmt::format_to(std::back_inserter(m_trace), " end:{} {} status={} after={:.0f}ms;", endpoint,
                 kAttemptResultNames[static_cast<size_t>(result)], status, ToMillis(elapsed));
  if (result != AttemptResult::kAnswered)
    return;
  m_answered = true;
  m_hedge_won = endpoint == m_hedge_endpoint;
}

std::string_view CallLog::HedgeOutcome() const {
  if (m_hedge_endpoint.empty())
    return "none";
  if (!m_answered)
    return "failed";
  return m_hedge_won ? "won" : "cancelled";
}

void CallLog::WriteAnswered(std::string_view request_id,
                            const State& state,
                            PlanHandle plan,
                            unsigned status,
                            Duration elapsed) const {
  const bool slow = elapsed > state.PlanConfig(plan).objective_latency;
  const bool routine = m_attempt_count == 1 && status < kFirstServerErrorStatus && !slow;
  Write(request_id, state, plan, "answered", fmt::format("{}{}", status, slow ? " late" : ""), elapsed, routine);
}

void CallLog::WriteRejected(std::string_view request_id,
                            const State& state,
                            PlanHandle plan,
                            const Effect::Reject& reject,
                            Duration elapsed) {
  fmt::format_to(std::back_inserter(m_trace), "{}rejected: asked={}/{} best_estimate={:.0f}ms retry_after={}ms;",
                 m_trace.empty() ? "" : " ", reject.basis.answered, reject.basis.asked, ToMillis(reject.basis.estimate),
                 reject.retry_after.count());
  const ReasonInfo& info = InfoOf(reject.reason);
  Write(request_id, state, plan, OutcomeName(info.outcome), info.name, elapsed, false);
}

void CallLog::WriteCallerGone(std::string_view request_id,
                              const State& state,
                              PlanHandle plan,
                              Duration elapsed) const {
  Write(request_id, state, plan, "caller_gone", m_attempt_count > 0 ? "while running" : "before it was sent", elapsed,
        false);
}

void CallLog::Write(std::string_view request_id,
                    const State& state,
                    PlanHandle plan,
                    std::string_view outcome,
                    std::string_view detail,
                    Duration elapsed,
                    bool routine) const {
  const LogClass log_class = routine ? LogClass::kRequestSuccess : LogClass::kRequestProblem;
  if (!ShouldLog(log_class))
    return;
  Log(routine ? LogLevel::kInfo : LogLevel::kWarning, "call",
      {{"id", std::string(request_id)},
       {"plan", plan.IsValid() ? state.PlanConfig(plan).name : std::string()},
       {"account", m_account.IsValid() ? std::string(state.AccountName(m_account)) : std::string()},
       {"outcome", std::string(outcome)},
       {"detail", std::string(detail)},
       {"took_ms", fmt::format("{:.1f}", ToMillis(elapsed))},
       {"admitted_generation", std::to_string(m_admitted_generation)},
       {"generation", std::to_string(state.Generation())},
       {"announced_generation", std::to_string(state.AnnouncedGeneration())},
       {"endpoints_as_of", std::to_string(state.EndpointsAsOf())},
       {"attempts", std::to_string(m_attempt_count)},
       {"hedge", std::string(HedgeOutcome())},
       {"trace", m_trace}},
      log_class);
}

}  // namespace sassafras
