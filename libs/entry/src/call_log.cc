#include "call_log.h"

#include <array>
#include <iterator>

#include <fmt/format.h>

#include "base/log.h"
#include "core/state.h"
#include "lists/plan.h"

namespace sassafras {
namespace {

constexpr unsigned kFirstFailureStatus = 500;

/** By AttemptResult. */
constexpr std::array<std::string_view, 9> kResultNames = {"answered",  "refused",   "not_sent",
                                                          "withdrawn", "broken",    "broken_in_answer",
                                                          "malformed", "timed_out", "cancelled"};

double Millis(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

void CallLog::AddAttempt(std::string_view endpoint, const DispatchBasis& basis) {
  ++m_attempts;
  fmt::format_to(std::back_inserter(m_text),
                 "{}{}:{} asked={}/{} estimate={:.0f}ms slowdown={:.2f} report_age={:.0f}ms;",
                 m_text.empty() ? "" : " ", basis.hedge ? "hedge" : "attempt", endpoint, basis.answered, basis.asked,
                 Millis(basis.estimate), basis.slowdown, Millis(basis.report_age));
}

void CallLog::AddEnd(std::string_view endpoint, AttemptResult result, unsigned status, Duration took) {
  fmt::format_to(std::back_inserter(m_text), " end:{} {} status={} after={:.0f}ms;", endpoint,
                 kResultNames[static_cast<size_t>(result)], status, Millis(took));
}

void CallLog::WriteAnswered(std::string_view id,
                            const State& state,
                            PlanHandle plan,
                            unsigned status,
                            Duration took) const {
  const bool slow = took > state.PlanRow(plan).objective_latency;
  const bool well = m_attempts == 1 && status < kFirstFailureStatus && !slow;
  Write(id, state, plan, "answered", fmt::format("{}{}", status, slow ? " late" : ""), took, well);
}

void CallLog::WriteRejected(std::string_view id,
                            const State& state,
                            PlanHandle plan,
                            const Effect::Reject& reject,
                            Duration took) {
  fmt::format_to(std::back_inserter(m_text), "{}rejected: asked={}/{} best_estimate={:.0f}ms retry_after={}ms;",
                 m_text.empty() ? "" : " ", reject.basis.answered, reject.basis.asked, Millis(reject.basis.estimate),
                 reject.retry_after.count());
  const ReasonInfo& info = InfoOf(reject.reason);
  Write(id, state, plan, OutcomeName(info.outcome), info.name, took, false);
}

void CallLog::WriteGone(std::string_view id, const State& state, PlanHandle plan, Duration took) const {
  Write(id, state, plan, "caller_gone", m_attempts > 0 ? "while running" : "before it was sent", took, false);
}

void CallLog::Write(std::string_view id,
                    const State& state,
                    PlanHandle plan,
                    std::string_view outcome,
                    std::string_view detail,
                    Duration took,
                    bool well) const {
  const LogClass log_class = well ? LogClass::kRequestSuccess : LogClass::kRequestProblem;
  if (!ShouldLog(log_class))
    return;
  const Plan& row = state.PlanRow(plan);
  Log(well ? LogLevel::kInfo : LogLevel::kWarning, "call",
      {{"id", std::string(id)},
       {"plan", row.name},
       {"outcome", std::string(outcome)},
       {"detail", std::string(detail)},
       {"took_ms", fmt::format("{:.1f}", Millis(took))},
       {"generation", std::to_string(state.Generation())},
       {"endpoints_as_of", std::to_string(state.EndpointsAsOf())},
       {"attempts", std::to_string(m_attempts)},
       {"trace", m_text}},
      log_class);
}

}  // namespace sassafras
