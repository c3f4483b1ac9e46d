#include "admin_pages.h"

#include <chrono>
#include <utility>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "core/hedge_counters.h"
#include "core/plan_counters.h"
#include "core/state.h"
#include "engine.h"
#include "entry/page_source.h"
#include "lists/endpoint.h"
#include "lists/plan.h"
#include "request_parsing.h"
#include "settings/settings.h"

namespace sassafras {
namespace {

namespace json = boost::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;
constexpr seconds kShortWindow{300};
constexpr seconds kLongWindow{3'600};

std::string_view PhaseName(Phase phase) {
  switch (phase) {
    case Phase::kStarting:
      return "starting";
    case Phase::kServing:
      return "serving";
    case Phase::kLeaving:
      return "leaving";
    case Phase::kClosing:
      return "closing";
  }
  return "closing";
}

json::object CountersJson(const PlanCounters& counters) {
  return {{"good", counters.good},       {"slow", counters.slow},       {"failed", counters.failed},
          {"not_run", counters.not_run}, {"unknown", counters.unknown}, {"cancelled", counters.cancelled},
          {"retries", counters.retries}, {"hedges", counters.hedges}};
}

Page JsonPage(int status, const json::value& value) {
  return {status, "application/json", json::serialize(value) + "\n"};
}

void AppendHedgeCounters(const PlanCounters& totals,
                         const HedgeCounters& hedges,
                         const std::string& plan,
                         std::string& text) {
  const auto add = [&](std::string_view outcome, uint64_t value) {
    fmt::format_to(std::back_inserter(text), "sassafras_hedge_outcomes_total{{plan=\"{}\",outcome=\"{}\"}} {}\n", plan,
                   outcome, value);
  };
  add("won", hedges.won);
  add("cancelled", hedges.lost);
  add("refused_by_limit", hedges.refused);
  add("held_back", hedges.held_back);
  const uint64_t calls = totals.good + totals.slow + totals.failed + totals.not_run + totals.unknown + totals.cancelled;
  const double extra = calls > 0 ? 100.0 * static_cast<double>(hedges.sent) / static_cast<double>(calls) : 0.0;
  fmt::format_to(std::back_inserter(text), "sassafras_hedge_extra_work_percent{{plan=\"{}\"}} {:.2f}\n", plan, extra);
}

void AppendPlanCounters(const State& state, PlanHandle plan, std::string& text) {
  const PlanCounters& totals = state.Totals(plan);
  const std::string& name = state.PlanConfig(plan).name;
  const auto add = [&](std::string_view outcome, uint64_t value) {
    fmt::format_to(std::back_inserter(text), "sassafras_calls_total{{plan=\"{}\",outcome=\"{}\"}} {}\n", name, outcome,
                   value);
  };
  add("good", totals.good);
  add("slow", totals.slow);
  add("failed", totals.failed);
  add("not_run", totals.not_run);
  add("unknown", totals.unknown);
  add("cancelled", totals.cancelled);
  fmt::format_to(std::back_inserter(text), "sassafras_retries_total{{plan=\"{}\"}} {}\n", name, totals.retries);
  fmt::format_to(std::back_inserter(text), "sassafras_hedges_total{{plan=\"{}\"}} {}\n", name, totals.hedges);
  AppendHedgeCounters(totals, state.Hedges(plan), name, text);
}

}  // namespace

const AdminPages::PageEntry AdminPages::kPages[] = {
    {"/sassafras/addresses", &AdminPages::RenderAddresses}, {"/sassafras/health", &AdminPages::RenderHealth},
    {"/sassafras/counters", &AdminPages::RenderCounters},   {"/sassafras/status", &AdminPages::RenderStatus},
    {"/sassafras/burn", &AdminPages::RenderBurn},
};

AdminPages::AdminPages(const Engine& engine,
                       const Settings& settings,
                       Counters& counters,
                       const PageSource* extra_pages,
                       std::function<void()> refresh_counters)
    : m_engine(engine),
      m_settings(settings),
      m_counters(counters),
      m_extra_pages(extra_pages),
      m_refresh_counters(std::move(refresh_counters)) {}

Page AdminPages::Render(std::string_view target) const {
  const std::string_view path = PathOf(target);
  if (m_extra_pages != nullptr) {
    if (auto page = m_extra_pages->Render(target, m_engine.GetState()))
      return *std::move(page);
  }
  std::string known_paths;
  for (const PageEntry& row : kPages) {
    if (row.path == path)
      return (this->*row.render)();
    fmt::format_to(std::back_inserter(known_paths), "{}\n", row.path);
  }
  return {kNotFound, "text/plain", "no such page; use one of\n" + known_paths};
}

Page AdminPages::RenderAddresses() const {
  json::array addresses;
  for (const Member& member : m_engine.GetState().ServingMembers()) {
    addresses.push_back(json::object{{"address", member.address},
                                     {"failure_domain", member.failure_domain},
                                     {"owner", FormatOwner(member.name, member.incarnation, member.epoch)}});
  }
  const int status = addresses.empty() ? kServiceUnavailable : kOk;
  return JsonPage(status, json::object{{"ttl_ms", duration_cast<milliseconds>(m_settings.address_ttl).count()},
                                       {"addresses", std::move(addresses)}});
}

Page AdminPages::RenderHealth() const {
  const Phase phase = m_engine.GetState().CurrentPhase();
  return JsonPage(phase == Phase::kServing ? kOk : kServiceUnavailable, json::object{{"phase", PhaseName(phase)}});
}

Page AdminPages::RenderCounters() const {
  m_refresh_counters();
  const State& state = m_engine.GetState();
  std::string text = m_counters.RenderText() + m_engine.Overhead().RenderText("sassafras_overhead_seconds");
  for (uint32_t index = 0; index < state.PlanCount(); ++index)
    AppendPlanCounters(state, PlanHandle(index), text);
  return {kOk, "text/plain; version=0.0.4", std::move(text)};
}

Page AdminPages::RenderStatus() const {
  const State& state = m_engine.GetState();
  json::array leaving;
  for (uint32_t index = 0; index < state.EndpointCount(); ++index) {
    const EndpointHandle endpoint(index);
    if (state.IsLeaving(endpoint))
      leaving.emplace_back(state.EndpointConfig(endpoint).name);
  }
  json::array evacuated;
  for (const std::string& name : state.EvacuatedDomains())
    evacuated.emplace_back(name);
  const Member& self = state.Self();
  return JsonPage(kOk, json::object{{"instance", self.name},
                                    {"incarnation", fmt::format("{:x}", self.incarnation)},
                                    {"failure_domain", self.failure_domain},
                                    {"phase", PhaseName(state.CurrentPhase())},
                                    {"generation", state.Generation()},
                                    {"peers", state.ServingMembers().size()},
                                    {"calls_in_progress", state.CallsInProgress()},
                                    {"calls_waiting", state.CallsWaiting()},
                                    {"records", state.RecordCount()},
                                    {"quarantined", state.QuarantineCount()},
                                    {"probe_seats", state.SeatsHeld(m_engine.Now())},
                                    {"probes_sent", state.ProbesSent()},
                                    {"table_bytes", state.TableBytes()},
                                    {"leaving_endpoints", std::move(leaving)},
                                    {"evacuated_failure_domains", std::move(evacuated)},
                                    {"evacuations_as_of", state.EvacuationsAsOf()}});
}

Page AdminPages::RenderBurn() const {
  const State& state = m_engine.GetState();
  json::array plans;
  for (uint32_t index = 0; index < state.PlanCount(); ++index) {
    const PlanHandle plan(index);
    const Plan& row = state.PlanConfig(plan);
    plans.push_back(json::object{{"plan", row.name},
                                 {"customer", row.customer},
                                 {"objective_success", row.objective_success},
                                 {"objective_latency_us", row.objective_latency.count()},
                                 {"total", CountersJson(state.Totals(plan))},
                                 {"last_5m", CountersJson(state.Recent(plan, kShortWindow, m_engine.Now()))},
                                 {"last_1h", CountersJson(state.Recent(plan, kLongWindow, m_engine.Now()))}});
  }
  const Member& self = state.Self();
  return JsonPage(kOk, json::object{{"instance", self.name},
                                    {"incarnation", fmt::format("{:x}", self.incarnation)},
                                    {"plans", std::move(plans)}});
}

}  // namespace sassafras
