#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/handle.h"
#include "core/call_handle.h"
#include "core/endpoint_change.h"
#include "core/member.h"

namespace sassafras {

struct CallerLimits;
struct Endpoint;
struct HedgeCounters;
struct StateParts;
struct Plan;
struct PlanCounters;
struct QuotaCounters;
struct StateOptions;

/** Lifecycle of an instance. */
enum class Phase : uint8_t { kStarting, kServing, kLeaving, kClosing };

/**
 * All state of one entry instance. Only Reduce() changes it; the public member functions only read it, except that
 * MembersFor() advances the random generator.
 */
class State {
 public:
  explicit State(const StateOptions& options);
  ~State();
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  Phase CurrentPhase() const;
  /** Generation of the lists in use; 0 before the first lists. */
  uint64_t Generation() const;
  /** Highest generation that a peer has announced; 0 if none was above this instance's at the time. */
  uint64_t AnnouncedGeneration() const;
  /** Time since any instance last confirmed with the store that there is no higher generation. */
  std::chrono::milliseconds ListsAge(TimePoint now) const;
  /** When the next Event::Tick is due. */
  TimePoint NextTick(TimePoint now) const;
  /** Revision of the platform's store up to which the endpoints are known; 0 before the first read. */
  uint64_t EndpointsAsOf() const;
  /** Endpoints listed in the platform's store, as far as this instance knows. */
  std::vector<EndpointChange> KnownEndpoints() const;
  /** Time since any instance last confirmed the endpoints with the store. */
  std::chrono::milliseconds EndpointsAge(TimePoint now) const;
  /** Number of calls waiting or running. */
  size_t CallsInProgress() const;
  size_t CallsWaiting() const;

  /** Finds the plan for the host with the longest matching path prefix; invalid if none matches. */
  PlanHandle FindPlan(std::string_view host, std::string_view method, std::string_view path) const;
  /** Configuration of the plan; valid until the next Event::ListsReceived. */
  const Plan& PlanConfig(PlanHandle plan) const;
  /** Whether there are client accounts, so that calls of plans that are not public need an API key. */
  bool HasAccounts() const;
  /** Longest time that a watch of the lists in the store may wait for a change. */
  std::chrono::milliseconds ListsWatchWait() const;
  /** Whether calls with API keys run only while the lists were confirmed recently. */
  bool NeedsKeyConfirmation() const;
  /** Whether calls with API keys may run now, as far as the confirmation of the lists is concerned. */
  bool AreKeysConfirmed(TimePoint now) const;
  /** Time since the lists were last confirmed soundly enough for API keys; GossipMessage::kMaxAge if never. */
  std::chrono::milliseconds KeyConfirmationAge(TimePoint now) const;
  /** Number of calls rejected because of their API key. */
  uint64_t CallsRejectedForKeys() const;
  /** Whether the API key of the call, if it needs one, allows that the call is sent now; false for ended calls. */
  bool MaySendWithKey(CallHandle call, TimePoint now) const;
  /** Finds the account that holds the API key; invalid if none does. */
  AccountHandle FindAccount(std::string_view key) const;
  /** Name of the account; valid until the next Event::ListsReceived. */
  std::string_view AccountName(AccountHandle account) const;
  /** Configuration of the endpoint; valid until the next call of Reduce(). */
  const Endpoint& EndpointConfig(EndpointHandle endpoint) const;
  /** Path of the probe requests to the endpoint. */
  std::string_view ProbePath(EndpointHandle endpoint) const;
  /** Whether the endpoint is known to be leaving. */
  bool IsLeaving(EndpointHandle endpoint) const;
  /** Whether calls may be sent to the endpoint: it is listed, not leaving and its failure domain not evacuated. */
  bool AcceptsCalls(EndpointHandle endpoint) const;
  /** Whether the failure domain of the endpoint is evacuated, so that nothing may be sent there, not even probes. */
  bool IsEvacuated(EndpointHandle endpoint) const;
  /** Whether the endpoint wants no requests from this instance at `now`, not even probes. */
  bool IsHeldOff(EndpointHandle endpoint, TimePoint now) const;
  /** Newest incarnation seen of the endpoint; 0 if unknown. */
  uint64_t EndpointIncarnation(EndpointHandle endpoint) const;
  /** Number of positions in the endpoint table, including free ones; handles have lower indexes. */
  size_t EndpointCount() const;
  /** Number of calls from this instance in progress at the endpoint. */
  uint32_t InFlight(EndpointHandle endpoint) const;

  /**
   * Members that callers may use, including this instance unless it is leaving or cannot confirm API keys. An instance
   * that cannot confirm them and knows no other member includes itself for the sake of calls that need no key.
   */
  std::vector<Member> ServingMembers() const;
  /** Members that a caller in `failure_domain` should use: only those of that domain if there are enough. */
  std::vector<Member> MembersFor(std::string_view failure_domain) const;
  /** This instance as peers see it. */
  const Member& Self() const;

  /** Limits on requests from callers. */
  const CallerLimits& Limits() const;
  size_t PlanCount() const;
  /** Counters of a plan since the start of the process. */
  const PlanCounters& Totals(PlanHandle plan) const;
  /** Hedges of a plan since the start of the process. */
  const HedgeCounters& Hedges(PlanHandle plan) const;
  /** Counters of a plan over the last `window`, at most one hour, with a resolution of ten seconds. */
  PlanCounters Recent(PlanHandle plan, std::chrono::seconds window, TimePoint now) const;

  /** Number of probe seats held at `now`. */
  size_t SeatsHeld(TimePoint now) const;
  uint64_t ProbesSent() const;
  const QuotaCounters& Quotas() const;
  /** Quota shards of which this instance holds a bucket. */
  size_t QuotaShardsHeld() const;
  /** Names of the evacuated failure domains, sorted. */
  const std::vector<std::string>& EvacuatedDomains() const;
  /** Revision of the platform's store as of which the evacuated failure domains are known; 0 before the first read. */
  uint64_t EvacuationsAsOf() const;
  /** How often an endpoint in warm-up was passed over for a call, because its limit was reached. */
  uint64_t WarmupRefusals() const;
  size_t RecordCount() const;
  size_t QuarantineCount() const;
  /** Approximate size in bytes of the main tables, for capacity planning. */
  size_t TableBytes() const;

  /** For Reduce() only. */
  StateParts& MutableParts() { return *m_parts; }

 private:
  std::unique_ptr<StateParts> m_parts;
};

}  // namespace sassafras
