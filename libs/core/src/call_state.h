#pragma once

#include <array>
#include <cstdint>

#include "base/clock.h"
#include "base/handle.h"
#include "call_terms.h"
#include "core/call_handle.h"

namespace sassafras {

/** State of an accepted call. */
struct CallState {
  enum class Stage : uint8_t { kFree, kWaiting, kAwaitingQuota, kProbing, kRunning, kWaitingForRecord };
  /** Maximum number of attempts of a call. */
  static constexpr size_t kMaxAttempts = 4;
  /** Maximum number of endpoints probed for their load before an attempt. */
  static constexpr size_t kMaxProbed = 6;
  static constexpr uint32_t kNoRecord = UINT32_MAX;

  uint32_t version = 0;
  Stage stage = Stage::kFree;
  uint8_t attempts = 0;
  /** Attempts that have not ended yet. */
  uint8_t attempts_outstanding = 0;
  uint8_t probed_count = 0;
  uint8_t probes_outstanding = 0;
  /** Whether the current probes are for a hedge, sent while another attempt runs. */
  bool probing_for_hedge = false;
  bool replayable = true;
  /** Whether the call holds a token of its account's quota that it has not used; valid until `quota_token_until`. */
  bool has_quota_token = false;
  /** Position of the hedge among the attempts; 0 if there is none. */
  uint8_t hedge_index = 0;
  /** Whether the call was counted for the share of late calls of its service. */
  bool counted_late = false;
  /** Whether an attempt has begun to answer the caller: the call ends with that attempt. */
  bool answer_started = false;
  /** Whether an attempt ended that may have run the request. */
  bool may_have_run = false;
  /** The plan that admitted the call, for its statistics and its endpoints. */
  PlanHandle plan;
  CallTerms terms;
  /** Client account of the call; invalid if its plan needs no API key or there are no accounts. */
  AccountHandle account;
  /** Hash64() of the API key with which the call was admitted. */
  uint64_t api_key_hash = 0;
  /** Priority of the account or else of the plan; lower values are more urgent. */
  uint8_t priority = 0;
  /** The service chosen for the call among those of its plan. */
  ServiceHandle service;
  uint64_t ticket = 0;
  uint64_t fingerprint = 0;
  TimePoint quota_token_until{};
  TimePoint arrived_at;
  TimePoint deadline;
  /** Time until which the caller waits; `deadline` may be earlier because of the plan's limit. */
  TimePoint caller_deadline;
  /** Time that the caller spent before this call, on tries that this instance rejected. */
  Duration spent_before{};
  /** Endpoint and start of each attempt. */
  std::array<EndpointHandle, kMaxAttempts> tried;
  std::array<TimePoint, kMaxAttempts> dispatched_at;
  /** Slowdown that the endpoint of each attempt had last reported at its start. */
  std::array<float, kMaxAttempts> reported_slowdowns{};
  /** Share of the endpoint's slots in use including the attempt, from its probe answer; 0 if unknown. */
  std::array<float, kMaxAttempts> utilizations{};
  /** A hedge is not sent to the failure domain of this endpoint; invalid for no bound. */
  EndpointHandle avoid_domain_of;
  /** Endpoints probed for the next attempt, and its estimated duration at each; infinite without an answer. */
  std::array<EndpointHandle, kMaxProbed> probed;
  std::array<float, kMaxProbed> estimates_us{};
  std::array<float, kMaxProbed> probed_utilizations{};
  /** Whether the call was held for lack of room. */
  bool was_held = false;
  /** Whether the call waits to probe once more. */
  bool reprobe_pending = false;
  TimePoint probes_sent_at{};
  /** Time at which the wait for probe answers, or for the next probes, ends. */
  TimePoint decide_at{};
  /** Position of the idempotency record that this call runs for or waits for. */
  uint32_t record = kNoRecord;
  /** Next call in the list of those that wait for the same record. */
  CallHandle next_waiter;
};

}  // namespace sassafras
