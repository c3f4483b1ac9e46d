#pragma once

#include <cstdint>

#include "base/clock.h"
#include "base/handle.h"

namespace sassafras {

/** Hot state of one endpoint as this instance sees it. */
struct EndpointState {
  /** Calls of this instance in progress there. */
  uint32_t in_flight = 0;
  uint32_t slots = 1;
  /** Connections this instance may hold to the endpoint. */
  uint32_t connection_limit = 1;
  /** Load of the last report, and how much of it was ours. */
  uint32_t reported_in_flight = 0;
  uint32_t own_in_flight_at_report = 0;
  /** Moving average of answer latency; 0 before the first answer. */
  float latency_us = 0;
  /** Time that work took there when it was last reported, relative to the usual. */
  float slowdown = 1.0F;
  /** Moving average of answer latency relative to the service's, and when it was last moved. */
  float relative_latency = 1.0F;
  TimePoint relative_latency_at{};
  /** Moving average of the part of requests that failed, 0 to 1. */
  float failure_rate = 0;
  uint16_t consecutive_failures = 0;
  uint8_t ejections = 0;
  /** Since when the row is not in the lists. */
  TimePoint inactive_since{};
  /** Whether the row is in the lists now. */
  bool active = false;
  bool leaving = false;
  /** Whether long work may go here; see docs/design/lanes.md. */
  bool accepts_long_work = false;
  bool same_failure_domain = false;
  ServiceHandle service;
  TimePoint reported_at{};
  /** Last answer or first dispatch while calls are in progress. */
  TimePoint progress_at{};
  TimePoint ramp_start{};
  TimePoint ejected_until{};
  /** Until when it is slow after its start. */
  TimePoint warmup_until{};
  uint64_t name_hash = 0;
  /** Newest incarnation seen, and the newest one known to leave. */
  uint64_t incarnation = 0;
  uint64_t leaving_incarnation = 0;
};

}  // namespace sassafras
