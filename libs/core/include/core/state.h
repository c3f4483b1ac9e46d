#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/handle.h"
#include "core/endpoint_change.h"
#include "core/member.h"

namespace sassafras {

struct CallerLimits;
struct Endpoint;
struct Parts;
struct Plan;
struct PlanCounters;
struct StateOptions;

/** Phases of an instance's life. */
enum class Phase : uint8_t { kStarting, kServing, kLeaving, kClosing };

/** All state of one entry instance. Only Reduce() changes it; the members here read it. */
class State {
 public:
  explicit State(const StateOptions& options);
  ~State();
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  Phase CurrentPhase() const;
  /** Generation of the lists in force; 0 before the first. */
  uint64_t Generation() const;
  /** When Event::Tick is due next. */
  TimePoint NextTick(TimePoint now) const;
  /** Revision of the platform's store up to which the endpoints are known; 0 before the first reading. */
  uint64_t EndpointsAsOf() const;
  /** Endpoints that the platform's store lists, as far as this instance knows. */
  std::vector<EndpointChange> KnownEndpoints() const;
  /** Age of the newest proof of what endpoints the store lists. */
  std::chrono::milliseconds EndpointsAge(TimePoint now) const;
  /** Number of calls waiting or running. */
  size_t CallsInProgress() const;
  size_t CallsWaiting() const;

  /** Finds the plan of that host with the longest matching path prefix; invalid if none matches. */
  PlanHandle FindPlan(std::string_view host, std::string_view method, std::string_view path) const;
  /** The plan's row; valid until the next ListsReceived. */
  const Plan& PlanRow(PlanHandle plan) const;
  /** The endpoint's row; valid until the next ListsReceived. */
  const Endpoint& EndpointRow(EndpointHandle endpoint) const;
  /** Path of probe requests to the endpoint. */
  std::string_view ProbePath(EndpointHandle endpoint) const;
  /** Whether the endpoint must get no new work. */
  bool IsLeaving(EndpointHandle endpoint) const;
  /** Number of endpoint positions in use or retired; handles are below it. */
  size_t EndpointCount() const;
  /** Calls this instance has in progress at the endpoint. */
  uint32_t InFlight(EndpointHandle endpoint) const;

  /** Members that callers may be sent to, this instance included unless it leaves. */
  std::vector<Member> ServingMembers() const;
  /** Members that a caller in `failure_domain` should use: those of that domain if they are enough. */
  std::vector<Member> MembersFor(std::string_view failure_domain) const;
  /** This instance as peers see it. */
  const Member& Self() const;

  /** What callers may send. */
  const CallerLimits& Limits() const;
  size_t PlanCount() const;
  /** Counters of a plan since the start of the process. */
  const PlanCounters& Totals(PlanHandle plan) const;
  /** Counters of a plan over the last `window`, at most one hour, in steps of ten seconds. */
  PlanCounters Recent(PlanHandle plan, std::chrono::seconds window, TimePoint now) const;

  /** Number of probe seats held now. */
  size_t SeatsHeld(TimePoint now) const;
  uint64_t ProbesSent() const;
  size_t RecordCount() const;
  size_t QuarantineCount() const;
  /** Bytes of the hot tables, for capacity figures. */
  size_t TableBytes() const;

  /** For Reduce() only. */
  Parts& MutableParts() { return *m_parts; }

 private:
  std::unique_ptr<Parts> m_parts;
};

}  // namespace sassafras
