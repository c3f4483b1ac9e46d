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

/** Runs the reducer: applies events to the state and executes the resulting effects. Not thread-safe. */
class Engine {
 public:
  Engine(const StateOptions& options, const Clock& clock);

  /** Sets the receiver of effects that do not belong to a call; must be called before the first event is posted. */
  void SetControlSink(ControlSink& sink) { m_control_sink = &sink; }

  /** Sets a function that Post() calls each time it has emptied the event queue. */
  void SetQueueEmptyHook(std::function<void()> hook) { m_queue_empty_hook = std::move(hook); }

  /**
   * Applies an event and executes its effects. An event that is posted while effects are executed is queued and
   * applied after them.
   */
  void Post(Event::Any event);

  /** Returns a new ticket for a call; its effects are delivered to `sink` until Unregister(). */
  uint64_t Register(CallSink& sink);
  void Unregister(uint64_t ticket) { m_sinks.erase(ticket); }

  /** Tells the reducer if the machine has been suspended since the last event. */
  void NoticeSuspension();

  TimePoint Now() const { return m_clock.Now(); }
  /** Time that advances while the machine is suspended; to be compared only with other values of this function. */
  TimePoint BootTime() const { return m_clock.Now() + m_clock.TimeSuspended(); }
  const Clock& GetClock() const { return m_clock; }
  const State& GetState() const { return m_state; }
  /**
   * Time from the submission of an answered call to its end, excluding the time from sending the request of the
   * answering attempt to receiving its response head.
   */
  DurationHistogram& Overhead() { return m_overhead; }
  const DurationHistogram& Overhead() const { return m_overhead; }

 private:
  void Execute(const Effect::Any& effect);
  CallSink* FindSink(uint64_t ticket);

  const Clock& m_clock;
  DurationHistogram m_overhead;
  State m_state;
  ControlSink* m_control_sink = nullptr;
  std::function<void()> m_queue_empty_hook;
  Effects m_effects;
  std::deque<Event::Any> m_pending;
  bool m_executing = false;
  /** Time suspended that the reducer knows of. */
  Duration m_suspended{};
  uint64_t m_last_ticket = 0;
  absl::flat_hash_map<uint64_t, CallSink*> m_sinks;
};

}  // namespace sassafras
