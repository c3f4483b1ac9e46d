#include "engine.h"

#include <chrono>
#include <type_traits>
#include <utility>
#include <variant>

#include "call_sink.h"
#include "control_sink.h"
#include "core/reducer.h"
#include "core/state_options.h"

namespace sassafras {

Engine::Engine(const StateOptions& options, const Clock& clock) : m_clock(clock), m_state(options) {}

void Engine::NoticeSuspension() {
  // The difference of two clocks that are read one after the other varies a little.
  constexpr std::chrono::milliseconds kMinGrowth{2};
  const Duration suspended = m_clock.TimeSuspended();
  if (suspended - m_suspended < kMinGrowth)
    return;
  m_suspended = suspended;
  Post(Event::SuspensionNoticed{m_clock.Now(), suspended});
}

void Engine::Post(Event::Any event) {
  if (!m_executing && !std::holds_alternative<Event::SuspensionNoticed>(event))
    NoticeSuspension();
  m_pending.push_back(std::move(event));
  if (m_executing)
    return;
  m_executing = true;
  while (!m_pending.empty()) {
    const Event::Any next = std::move(m_pending.front());
    m_pending.pop_front();
    m_effects.clear();
    Reduce(m_state, next, m_effects);
    for (const Effect::Any& effect : m_effects)
      Execute(effect);
  }
  m_executing = false;
  if (m_queue_empty_hook)
    m_queue_empty_hook();
}

uint64_t Engine::Register(CallSink& sink) {
  m_sinks.emplace(++m_last_ticket, &sink);
  return m_last_ticket;
}

CallSink* Engine::FindSink(uint64_t ticket) {
  const auto found = m_sinks.find(ticket);
  return found == m_sinks.end() ? nullptr : found->second;
}

void Engine::Execute(const Effect::Any& any) {
  std::visit(
      [this](const auto& effect) {
        using Kind = std::decay_t<decltype(effect)>;
        if constexpr (requires { effect.ticket; }) {
          CallSink* sink = FindSink(effect.ticket);
          if (sink == nullptr)
            return;
          if constexpr (std::is_same_v<Kind, Effect::Accepted>)
            sink->OnAccepted(effect.call);
          else if constexpr (std::is_same_v<Kind, Effect::Dispatch>)
            sink->OnDispatch(effect);
          else if constexpr (std::is_same_v<Kind, Effect::Reject>)
            sink->OnReject(effect);
          else if constexpr (std::is_same_v<Kind, Effect::ArmProbeWaitTimer>)
            sink->OnArmProbeWaitTimer(effect.at);
          else
            sink->OnSendRecordedAnswer(effect.answer);
        } else {
          m_control_sink->OnEffect(effect);
        }
      },
      any);
}

}  // namespace sassafras
