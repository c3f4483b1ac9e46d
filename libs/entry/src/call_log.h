#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/handle.h"
#include "core/dispatch_basis.h"
#include "core/effect.h"
#include "core/event.h"
#include "core/outcome.h"

namespace sassafras {

class State;

struct Rejection;

/**
 * Writes the log line of a request that was rejected before it became a call, with the age of the lists on which the
 * decision rests.
 */
void LogRejectedRequest(std::string_view request_id,
                        const State& state,
                        const Rejection& rejection,
                        unsigned status,
                        TimePoint now);

/** Collects the attempts of one call and writes the call's log line. */
class CallLog {
 public:
  /** Names the client account of the call; an invalid handle if it has none. */
  void SetAccount(AccountHandle account) { m_account = account; }
  /** Sets the generation of the lists that admitted the call. */
  void SetAdmittedGeneration(uint64_t generation) { m_admitted_generation = generation; }
  /** Adds the start of an attempt and the data on which its endpoint was chosen. */
  void AddAttempt(std::string_view endpoint, const DispatchBasis& basis);
  /** Adds the end of the attempt at an endpoint; `status` is 0 if no response head was read. */
  void AddAttemptEnd(std::string_view endpoint, AttemptResult result, unsigned status, Duration elapsed);

  /** Writes the log line of a call that was answered with `status`. */
  void WriteAnswered(std::string_view request_id,
                     const State& state,
                     PlanHandle plan,
                     unsigned status,
                     Duration elapsed) const;
  /** Writes the log line of a call that this instance rejected. */
  void WriteRejected(std::string_view request_id,
                     const State& state,
                     PlanHandle plan,
                     const Effect::Reject& reject,
                     Duration elapsed);
  /** Writes the log line of a call whose caller disconnected. */
  void WriteCallerGone(std::string_view request_id, const State& state, PlanHandle plan, Duration elapsed) const;

 private:
  void Write(std::string_view request_id,
             const State& state,
             PlanHandle plan,
             std::string_view outcome,
             std::string_view detail,
             Duration elapsed,
             bool routine) const;

  /** Outcome of the hedge for the log line. */
  std::string_view HedgeOutcome() const;

  AccountHandle m_account;
  uint64_t m_admitted_generation = 0;
  uint32_t m_attempt_count = 0;
  /** Endpoint of the hedge, empty if none was sent, and whether its answer was delivered. */
  std::string m_hedge_endpoint;
  bool m_answered = false;
  bool m_hedge_won = false;
  std::string m_trace;
};

}  // namespace sassafras
