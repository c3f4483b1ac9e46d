#pragma once

#include <cstdint>

#include "base/clock.h"
#include "base/handle.h"

namespace sassafras {

/** Frequently accessed state of an endpoint, as this instance knows it. */
struct EndpointState {
  /** Attempts of this instance in progress at the endpoint. */
  uint32_t in_flight = 0;
  uint32_t slots = 1;
  /** Maximum number of connections from this instance to the endpoint. */
  uint32_t connection_limit = 1;
  /** Requests in the last load report, and the value of `in_flight` when it was received. */
  uint32_t reported_in_flight = 0;
  uint32_t own_in_flight_at_report = 0;
  /** Moving average of the latency of answers; 0 before the first answer. */
  float latency_us = 0;
  /** Last reported duration of work at the endpoint relative to its usual duration. */
  float slowdown = 1.0F;
  /** Moving average of the latency relative to that of the service, and the time of its last update. */
  float relative_latency = 1.0F;
  TimePoint relative_latency_at{};
  /** Moving average of the fraction of requests that failed, 0 to 1. */
  float failure_rate = 0;
  uint16_t consecutive_failures = 0;
  uint8_t ejections = 0;
  /** Time at which the endpoint was last deactivated; meaningful only while not `active`. */
  TimePoint inactive_since{};
  /** Whether the endpoint is listed: in the lists, or with discovery in the platform's store. */
  bool active = false;
  /** Whether the endpoint is leaving, by a mark or by its current entry in the platform's store. */
  bool leaving = false;
  /** Whether `leaving_incarnation` was marked as leaving. The mark holds until a later incarnation is seen. */
  bool leaving_marked = false;
  /** Whether calls with long work may be sent here. */
  bool accepts_long_work = false;
  bool same_failure_domain = false;
  /** Whether the endpoint's failure domain is evacuated, so that nothing may be sent there. */
  bool evacuated = false;
  /** Whether this instance is one of the few that may use the endpoint in warm-up. */
  bool may_use_in_warmup = false;
  /** Whether this incarnation of the endpoint has stated its warm-up in a probe answer. */
  bool states_warmup = false;
  ServiceHandle service;
  TimePoint reported_at{};
  /** Time of the last report by the endpoint itself, and whether it showed all slots taken. */
  TimePoint own_report_at{};
  bool own_report_full = false;
  /** When an attempt at the full endpoint got no answer, if no report followed yet, and the incarnation at that time.
   */
  TimePoint silent_at{};
  uint64_t silent_incarnation = 0;
  /** Most requests beyond its slots with which the endpoint answered a request. */
  uint32_t queue_seen = 0;
  /** Time of the last answer or refusal, or of the dispatch that ended an idle period. */
  TimePoint progress_at{};
  /** When an attempt of this instance was last late for its hedge. */
  TimePoint overdue_at{};
  /** Start of the gradual increase to full load (slow start) by this instance; independent of `warmup_until`. */
  TimePoint ramp_start{};
  TimePoint ejected_until{};
  /** Time until which the endpoint wants no requests from this instance, by its own answer. */
  TimePoint held_off_until{};
  /** Time until which the endpoint is expected to be slow after its start. */
  TimePoint warmup_until{};
  /** When the endpoint itself last stated its warm-up; not set if this incarnation has not. */
  TimePoint warmup_stated_at{};
  /** Time of the last attempt of this instance at the endpoint. */
  TimePoint dispatched_at{};
  uint64_t name_hash = 0;
  /** Newest incarnation seen, and the newest one known to be leaving. */
  uint64_t incarnation = 0;
  uint64_t leaving_incarnation = 0;

  /** Whether the newest incarnation was marked as leaving. */
  bool HasLeavingMark() const { return leaving_marked && leaving_incarnation >= incarnation; }
};

}  // namespace sassafras
