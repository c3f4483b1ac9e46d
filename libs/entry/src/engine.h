#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <utility>

#include <absl/container/flat_hash_map.h>

#include "base/clock.h"
#include "base/duration_histogram.h"
#include "core/effect.h"
#include "core/event.h"
#include "core/state.h"

namespace sassafras {

class CallSink;
class ControlSink;
struct StateOptions;

/** Runs the reducer: takes events in, hands effects out. For one thread. */
class Engine {
 public:
  Engine(const StateOptions& options, const Clock& clock);

  /** Where effects go that concern no call; must be set before the first event. */
  void SetControlSink(ControlSink& sink) { m_control = &sink; }

  /** Called after each Post(), when no event is left. */
  void SetDoneHook(std::function<void()> hook) { m_done = std::move(hook); }

  /**
   * Applies an event and carries out its effects. An event posted while effects are carried out is applied
   * after them.
   */
  void Post(Event::Any event);

  /** Gives a ticket to a call whose effects go to `sink` until Forget(). */
  uint64_t Register(CallSink& sink);
  void Forget(uint64_t ticket) { m_sinks.erase(ticket); }

  TimePoint Now() const { return m_clock.Now(); }
  const Clock& GetClock() const { return m_clock; }
  const State& GetState() const { return m_state; }
  /** Time that answered calls spent in this instance, apart from waiting for the endpoint. */
  DurationHistogram& Overhead() { return m_overhead; }
  const DurationHistogram& Overhead() const { return m_overhead; }

 private:
  void CarryOut(const Effect::Any& effect);
  CallSink* Find(uint64_t ticket);

  const Clock& m_clock;
  DurationHistogram m_overhead;
  State m_state;
  ControlSink* m_control = nullptr;
  std::function<void()> m_done;
  Effects m_effects;
  std::deque<Event::Any> m_pending;
  bool m_running = false;
  uint64_t m_last_ticket = 0;
  absl::flat_hash_map<uint64_t, CallSink*> m_sinks;
};

}  // namespace sassafras
