#pragma once

#include <array>
#include <cstdint>

#include "base/clock.h"
#include "base/handle.h"
#include "core/call_handle.h"

namespace sassafras {

/** One accepted call. */
struct CallState {
  enum class Stage : uint8_t { kFree, kWaiting, kProbing, kRunning, kWaitingForRecord };
  /** Endpoints remembered as tried; more attempts than that are never made. */
  static constexpr size_t kMaxAttempts = 4;
  /** Endpoints asked for their load before one attempt. */
  static constexpr size_t kMaxProbed = 6;
  static constexpr uint32_t kNoRecord = UINT32_MAX;

  uint32_t version = 0;
  Stage stage = Stage::kFree;
  uint8_t attempts = 0;
  /** Attempts whose end was not reported yet. */
  uint8_t attempts_outstanding = 0;
  uint8_t probed_count = 0;
  uint8_t probes_outstanding = 0;
  /** Whether endpoints are being asked for an attempt beside one that runs. */
  bool probing_for_hedge = false;
  bool replayable = true;
  bool hedged = false;
  /** Whether an attempt ended without telling whether the request ran. */
  bool may_have_run = false;
  PlanHandle plan;
  /** The service that the call goes to, of those that the plan may use. */
  ServiceHandle service;
  uint64_t ticket = 0;
  uint64_t fingerprint = 0;
  TimePoint arrived_at;
  TimePoint deadline;
  /** Until when the caller itself waits; the deadline may be earlier. */
  TimePoint caller_deadline;
  /** Endpoints of the attempts so far and when each attempt was made. */
  std::array<EndpointHandle, kMaxAttempts> tried;
  std::array<TimePoint, kMaxAttempts> dispatched_at;
  /** Slowdown that the endpoint of each attempt had reported. */
  std::array<float, kMaxAttempts> reported_slowdowns{};
  /** Share of the endpoint's slots in use with each attempt, by its report; 0 if unknown. */
  std::array<float, kMaxAttempts> utilizations{};
  /** Endpoints asked for the next attempt, and the estimated time of an attempt there; infinite without an answer. */
  std::array<EndpointHandle, kMaxProbed> probed;
  std::array<float, kMaxProbed> estimates_us{};
  std::array<float, kMaxProbed> probed_utilizations{};
  /** Whether the call waits to ask once more. */
  bool reprobe_pending = false;
  TimePoint probes_sent_at{};
  TimePoint decide_at{};
  /** Idempotency record that this call runs for or waits for. */
  uint32_t record = kNoRecord;
  /** Next call that waits for the same record. */
  CallHandle next_waiter;
};

}  // namespace sassafras
