#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/effect.h"
#include "core/event.h"
#include "core/reducer.h"
#include "core/state.h"
#include "core/state_options.h"
#include "lists/lists.h"

namespace sassafras {

/**
 * One reducer on a virtual clock, to which tests pass events one by one.
 *
 * It discovers endpoints through a store (`discovery`) and probes them before each attempt (`ask_first`).
 */
class SingleInstance {
 public:
  using Millis = std::chrono::milliseconds;

  explicit SingleInstance(StateOptions options = {}, const std::string& name = "i0")
      : m_state(PrepareOptions(options, name)) {
    // An instance does not serve before it has read the evacuated failure domains.
    ReceiveEvacuations({}, 1);
  }

  /** Makes lists of services "s" and "t", with one plan "p" for path "/" that uses `service`. */
  static Lists MakeLists(const std::string& service, Repeat repeat = Repeat::kSafe) {
    Lists lists;
    for (const char* name : {"s", "t"}) {
      Service row;
      row.name = name;
      row.connections = 1'000;
      row.long_share = 100;
      lists.services.push_back(row);
    }
    Plan plan;
    plan.name = "p";
    plan.method = "*";
    plan.path_prefix = "/";
    plan.repeat = repeat;
    plan.deadline = Millis(1'000);
    plan.objective_latency = Millis(400);
    plan.service = service;
    plan.max_attempts = 2;
    lists.plans.push_back(plan);
    return lists;
  }

  /** Makes the change by which an endpoint of service "s" with 6 slots starts serving at `revision`. */
  static EndpointChange MakeChange(const std::string& name, uint64_t revision, const std::string& domain = "a") {
    EndpointChange change;
    change.row = {name, "s", "127.0.0.1:" + std::to_string(1'000 + revision), domain, 6, 0};
    change.revision = revision;
    change.incarnation = 1;
    return change;
  }

  /** Reduces the event; the effects returned are valid until the next event. */
  const Effects& HandleEvent(const Event::Any& event) {
    m_effects.clear();
    Reduce(m_state, event, m_effects);
    return m_effects;
  }

  void ReceiveLists(uint64_t generation, Lists lists) {
    HandleEvent(Event::ListsReceived{m_now, generation, std::make_shared<const Lists>(std::move(lists))});
  }

  void ReceiveEndpoints(std::vector<EndpointChange> changes, bool whole, uint64_t as_of) {
    HandleEvent(Event::EndpointsReceived{m_now, as_of, whole, std::move(changes)});
  }

  /** Delivers the evacuated failure domains as read from the store at revision `as_of`. */
  const Effects& ReceiveEvacuations(std::vector<std::string> domains, uint64_t as_of) {
    return HandleEvent(Event::EvacuationsReceived{m_now, {as_of, std::move(domains)}});
  }

  /**
   * Delivers a new call whose caller allows it the time `limit`.
   * @param fingerprint  that of the request; by default one that no other call has
   */
  const Effects& ReceiveCall(Duration limit = Millis(2'000), std::optional<uint64_t> fingerprint = std::nullopt) {
    Event::CallArrived event;
    event.now = m_now;
    event.ticket = ++m_ticket;
    event.plan = m_state.FindPlan("", "GET", "/x");
    event.time_left = limit;
    event.fingerprint = fingerprint.value_or(m_ticket);
    return HandleEvent(event);
  }

  /** Delivers the answer of a probed endpoint. */
  const Effects& AnswerProbe(const Effect::SendProbe& probe, uint32_t in_flight, float slowdown) {
    Event::ProbeEnded event;
    event.now = m_now;
    event.endpoint = probe.endpoint;
    event.answered = true;
    event.call = probe.call;
    event.load.present = true;
    event.load.in_flight = in_flight;
    event.load.slots = 6;
    event.load.slowdown = slowdown;
    return HandleEvent(event);
  }

  /** Answers the load probes among the effects, and those that follow; returns the dispatches. */
  std::vector<Effect::Dispatch> AnswerProbes(const Effects& effects, uint32_t in_flight = 0) {
    std::vector<Effect::Dispatch> dispatches = EffectsOfType<Effect::Dispatch>(effects);
    for (const Effect::SendProbe& probe : EffectsOfType<Effect::SendProbe>(effects)) {
      const auto more = AnswerProbes(AnswerProbe(probe, in_flight, 1.0F), in_flight);
      dispatches.insert(dispatches.end(), more.begin(), more.end());
    }
    return dispatches;
  }

  template <typename T>
  static std::vector<T> EffectsOfType(const Effects& effects) {
    std::vector<T> matching;
    for (const Effect::Any& effect : effects) {
      if (const T* kind = std::get_if<T>(&effect))
        matching.push_back(*kind);
    }
    return matching;
  }

  std::string EndpointName(EndpointHandle endpoint) const { return m_state.EndpointConfig(endpoint).name; }
  void Advance(Duration time) { m_now += time; }
  TimePoint Now() const { return m_now; }
  State& GetState() { return m_state; }

 private:
  StateOptions PrepareOptions(StateOptions options, const std::string& name) const {
    options.start = m_now;
    options.discovery = true;
    options.ask_first = true;
    options.self.name = name;
    options.self.failure_domain = "a";
    options.self.incarnation = 1;
    return options;
  }

  TimePoint m_now{std::chrono::hours(1)};
  State m_state;
  Effects m_effects;
  uint64_t m_ticket = 0;
};

}  // namespace sassafras
