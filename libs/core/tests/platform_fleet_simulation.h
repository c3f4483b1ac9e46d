#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "core/effect.h"
#include "core/event.h"
#include "core/state.h"
#include "effects_digest.h"
#include "fake_store.h"
#include "lists/lists.h"

namespace sassafras {

/**
 * Simulates a fleet on the users' platform, where endpoints and plans are discovered through a store.
 *
 * Several reducers run on one virtual clock. Reads of the store may lag, its history may be compacted, it may refuse
 * instances or not reply, and entries may expire; addresses are reused by other services. Guarantees are checked
 * against what endpoints ran, what callers were told and when the store acknowledged each change.
 */
class PlatformFleetSimulation {
 public:
  using Millis = std::chrono::milliseconds;
  /** How the store treats the requests of an instance. */
  enum class StoreMode { kAnswers, kRefuses, kSilent };

  static constexpr size_t kInstances = 5;
  static constexpr size_t kAddresses = 8;
  static constexpr Millis kCallDeadline{1'500};
  static constexpr Millis kHoldOffDuration{1'500};
  static constexpr Millis kWarmupDuration{6'000};
  /** Requests a second that an endpoint in warm-up tolerates, and the bound of what it may get. */
  static constexpr double kWarmupRate = 0.5;
  static constexpr size_t kMaxWarmupRequests = 8;
  /** Path, API key and limit of the account that has a quota. */
  static constexpr const char* kLimitedPath = "/limited/";
  static constexpr const char* kLimitedAccountKey = "key";
  static constexpr double kLimitedAccountRate = 2;
  static constexpr double kLimitedAccountBurst = 4;

  /**
   * @param with_keys  whether calls carry the API keys of an account, which has the keys "k2" and "k3" in generation 2
   *                   and so on, and each removed key must soon have no effect
   */
  explicit PlatformFleetSimulation(uint64_t seed, bool with_keys = false);
  ~PlatformFleetSimulation();

  void Advance(Millis time);

  /** Sends a call under the plan that allows repeats, or under the one that does not; returns its index. */
  size_t SendCall(size_t instance, bool repeat_safe);
  /** Like SendCall(), for a repeatable call of the account that has a quota. */
  size_t SendLimitedCall(size_t instance);
  void DisconnectCaller(size_t call);

  void Pause(size_t instance);
  void Resume(size_t instance);
  void Kill(size_t instance);
  void Restart(size_t instance);
  void StopGracefully(size_t instance);
  void SetIsolated(size_t instance, bool isolated);
  /** Sets how the store treats one instance, for partitions and for a store that refuses some instances. */
  void SetStoreMode(size_t instance, StoreMode mode);
  /**
   * Makes the store unavailable to all instances. With `expire_entries` the entries of all serving endpoints
   * expire if it stays so for kEntryLease.
   */
  void TakeStoreDown(StoreMode mode, bool expire_entries);
  /** Makes the store available again; expired entries are written back within kMaxEntryReturnDelay. */
  void BringStoreUp();
  /** Sets by how much reads that may lag are behind the store. */
  void SetReadLag(Millis lag) { m_read_lag = lag; }
  /**
   * Makes the store available again with its content of `age` ago. The operator and the endpoints that are up write
   * again what was lost; the entries of the others expire.
   */
  void RestoreStore(Millis age);
  void CompactStoreHistory() { m_store.CompactHistory(); }
  /** Publishes a generation in which the plan of repeatable calls uses the other service. */
  void MoveRoute();
  /** Evacuates the failure domain "a" or "b", or takes the evacuation back. */
  void SetEvacuated(const std::string& domain, bool evacuated);
  /** Sends the endpoint at the address back to warm-up for kWarmupDuration; its answers to probes say so. */
  void StartWarmup(size_t address);
  /** Makes the endpoint at the address announce that it is leaving; it serves for kDrainDuration and exits. */
  void Drain(size_t address);
  /**
   * Makes the endpoint at the address say in its answers to calls that it is leaving, without a word to the store or to
   * probes; it serves for kSilentLeaveDuration and exits.
   */
  void LeaveWithoutNotice(size_t address);
  /** Ends the endpoint at once; its entry stays in the store until its lease expires. */
  void Crash(size_t address);
  /** Starts a new endpoint at a free address, for service "s" or the other service "t". */
  void StartEndpoint(size_t address, bool other_service);
  /** Restarts the endpoint under the same name. */
  void RestartEndpoint(size_t address);
  /** Writes an unreadable entry, as another writer would, under a name that no endpoint has. */
  void WriteDamagedEntry();
  /** Sets whether the endpoint refuses all calls and wants no requests for kHoldOffDuration after each refusal. */
  void SetHoldsOff(size_t address, bool holds_off) { m_endpoints[address].holds_off = holds_off; }
  void SetLosesAnswers(size_t address, bool loses_answers) { m_endpoints[address].loses_answers = loses_answers; }
  void SetGossipDropRate(double rate) { m_gossip_drop_rate = rate; }

  /** The first guarantee that was violated, with its virtual time; empty if none was. */
  const std::string& FirstViolation() const { return m_first_violation; }
  /** Hash over all effects so far; the same in every process for the same seed and steps. */
  uint64_t EffectsHash() const { return m_effects_digest.Value(); }
  /**
   * Restores the network and the store, resumes paused instances, advances 12 s and checks the guarantees that must
   * hold by then.
   */
  void RecoverAndCheck();

  bool IsUp(size_t instance) const { return m_instances[instance].state != nullptr; }
  /** Whether the instance watches the store for its failure domain. */
  bool IsWatching(size_t instance) const { return m_instances[instance].watching; }
  bool IsPaused(size_t instance) const { return m_instances[instance].paused; }
  bool IsEndpointUp(size_t address) const { return m_endpoints[address].up; }
  const State& StateOf(size_t instance) const { return *m_instances[instance].state; }
  TimePoint Now() const { return m_now; }
  size_t CallCount() const { return m_calls.size(); }
  size_t AnsweredCount() const;
  /** Number of requests to the store, whatever the cost of each. */
  size_t StoreCallCount() const { return m_store_call_count; }
  uint64_t RosterRevision() const { return m_store.roster_revision; }

 private:
  struct Instance {
    std::unique_ptr<State> state;
    uint64_t incarnation = 0;
    bool paused = false;
    bool isolated = false;
    StoreMode store_mode = StoreMode::kAnswers;
    std::vector<std::function<Event::Any()>> deferred_events;
    bool watching = false;
    bool reading_changes = false;
    bool reading_all = false;
    bool fetching_lists = false;
    uint64_t roster_revision = 0;
    TimePoint next_tick;
    /** Since when no failure has been injected into the instance. */
    TimePoint undisturbed_since;
  };
  /** Time in which an endpoint wants no requests from one instance, and the requests that it got all the same. */
  struct HoldOff {
    TimePoint from{};
    TimePoint until{};
    size_t requests = 0;
  };
  /** The endpoint that listens at one address, or listened there last. */
  struct FakeEndpoint {
    std::string name;
    bool other_service = false;
    bool up = false;
    bool draining = false;
    /** Whether its answers say that it is leaving, and whether those to probes do too. */
    bool says_leaving = false;
    bool tells_probes = true;
    bool loses_answers = false;
    bool holds_off = false;
    uint64_t incarnation = 0;
    size_t requests_running = 0;
    TimePoint warmup_from{};
    TimePoint warmup_until{};
    /** Times of the requests that the endpoint ran in warm-up. */
    std::vector<TimePoint> warmup_runs;
    /** When the store acknowledged that the endpoint is leaving. */
    std::optional<TimePoint> leave_acknowledged_at;
    /** When each instance was first told by an answer that the endpoint is leaving; reset if it restarts or pauses. */
    std::array<std::optional<TimePoint>, kInstances> told_leaving_at;
    /** By instance; reset if it restarts, pauses or loses its connections. */
    std::array<HoldOff, kInstances> hold_offs;
    /** When another endpoint may start at the address. */
    TimePoint reusable_at{};
  };
  struct CallRecord {
    bool repeat_safe = false;
    /** Whether the call is one of the account that has a quota. */
    bool limited = false;
    size_t instance = 0;
    uint64_t incarnation = 0;
    uint64_t ticket = 0;
    CallHandle handle;
    TimePoint sent_at;
    bool completed = false;
    bool caller_disconnected = false;
    bool answered = false;
    std::optional<Reason> reject_reason;
    size_t runs = 0;
    /** Number of the API key that the call carries; 0 for none. */
    uint64_t key = 0;
  };
  struct ScheduledAction {
    TimePoint at;
    uint64_t sequence = 0;
    std::function<void()> action;
    bool operator<(const ScheduledAction& other) const {
      return std::tie(other.at, other.sequence) < std::tie(at, sequence);
    }
  };

  void RunAfter(Duration delay, std::function<void()> action);
  Duration NetworkDelay();
  void DeliverEvent(size_t instance, uint64_t incarnation, std::function<Event::Any()> make_event);
  void HandleEvent(size_t instance, const Event::Any& event);
  void StartInstance(size_t instance);
  void MarkDisturbed(size_t instance) { m_instances[instance].undisturbed_since = m_now; }
  /** Whether kUndisturbedTime has passed without failures of the instance, the network or the store for all. */
  bool IsUndisturbed(size_t instance) const;
  void PutEntry(size_t address);
  std::shared_ptr<const Lists> MakeLists(uint64_t generation) const;

  void HandleEffect(size_t instance, const Effect::Accepted& effect);
  void HandleEffect(size_t instance, const Effect::Dispatch& effect);
  void HandleEffect(size_t instance, const Effect::Reject& effect);
  void HandleEffect(size_t instance, const Effect::SendRecordedAnswer& effect);
  void HandleEffect(size_t instance, const Effect::SendProbe& effect);
  void HandleEffect(size_t instance, const Effect::ArmProbeWaitTimer& effect);
  void HandleEffect(size_t instance, const Effect::ReadEndpoints& effect);
  void HandleEffect(size_t instance, const Effect::ReadRoster& effect);
  void HandleEffect(size_t instance, const Effect::WriteRoster& effect);
  void HandleEffect(size_t instance, const Effect::SendGossip& effect);
  void HandleEffect(size_t instance, const Effect::FetchLists& effect);
  void HandleEffect(size_t instance, const Effect::PollStore& effect);
  void HandleEffect(size_t instance, const Effect::WatchStore& effect);
  void HandleEffect(size_t instance, const Effect::CloseListeners& effect);
  void HandleEffect(size_t /*instance*/, const Effect::RestoreLists& /*effect*/) {}
  void HandleEffect(size_t /*instance*/, const Effect::ClaimSeat& /*effect*/) {}
  void HandleEffect(size_t /*instance*/, const Effect::ReleaseSeat& /*effect*/) {}
  void HandleEffect(size_t /*instance*/, const Effect::WriteLogRecord& /*effect*/) {}

  /** Calls the store for the instance, then runs `on_answer`, or `on_failure` if it refused or did not reply. */
  void CallStore(size_t instance, std::function<void()> on_answer, std::function<void()> on_failure);
  /** Ends a read of the endpoints that the store stopped answering. */
  void FailLongPoll(size_t instance, uint64_t incarnation, bool whole, TimePoint respond_by);
  /** Time since the store stated something. */
  Millis AgeOf(TimePoint stated_at) const;
  void LongPollEndpoints(size_t instance, const Effect::ReadEndpoints& read, TimePoint respond_by);
  void DeliverStoreRead(size_t instance, uint64_t incarnation, bool ok);
  void ContinueWatch(size_t instance, uint64_t incarnation, uint64_t operator_revision, TimePoint wait_until);
  /** Delivers the plans and the evacuated failure domains of a snapshot of the store. */
  void DeliverPlans(size_t instance, uint64_t incarnation, const FakeStore::Snapshot& snapshot, bool may_lag);
  void HandleRequest(size_t address,
                     size_t call,
                     size_t instance,
                     const Effect::Dispatch& dispatch,
                     const std::string& name,
                     uint64_t known_incarnation);
  void DeliverAttemptEnd(size_t instance,
                         size_t call,
                         const Effect::Dispatch& dispatch,
                         AttemptResult result,
                         bool is_wrong_endpoint,
                         const LoadReport& load);
  LoadReport MakeLoadReport(const FakeEndpoint& endpoint) const;
  /** Records that an answer of this incarnation of the endpoint told the instance that the endpoint is leaving. */
  void RecordToldLeaving(size_t address, uint64_t incarnation, size_t instance);
  /** Excuses the instance from what answers told it before, because it restarts or pauses. */
  void ForgetToldLeaving(size_t instance);
  void ForgetHoldOffs(size_t instance);
  /** Records that the endpoint wants no requests from the instance for kHoldOffDuration. */
  void StartHoldOff(FakeEndpoint& endpoint, size_t instance);
  /** Counts a call or probe that arrives at the endpoint, and reports a violation if too many come while held off. */
  void CheckHoldOff(FakeEndpoint& endpoint, size_t instance);
  void CheckNoFalseLeavingMarks(size_t instance);
  void CheckRun(const FakeEndpoint& endpoint, const CallRecord& call);
  /** Checks that the evacuation of a failure domain, if it is in force by now, keeps requests from its endpoints. */
  void CheckEvacuation(size_t address, size_t instance);
  /** Counts a request to an endpoint, and reports a violation if it gets too many in warm-up. */
  void CheckWarmup(FakeEndpoint& endpoint, size_t instance);
  /** Counts a run of a call of the account that has a quota, and reports a violation if there are too many. */
  void CheckQuota();
  size_t AddCall(const CallRecord& call);
  void CheckGenerations();
  void ReportViolation(const std::string& what);
  int InstanceByPeerAddress(const std::string& address) const;

  /** Reports a violation if the API key of the call was removed too long ago. */
  void CheckKey(const CallRecord& call);
  /** Longest time that one watch request of the instance waits for a change. */
  Millis MaxWatchWait(size_t instance) const;

  std::mt19937_64 m_random;
  bool m_with_keys;
  TimePoint m_now;
  std::priority_queue<ScheduledAction> m_scheduled;
  uint64_t m_last_sequence = 0;
  FakeStore m_store;
  std::array<Instance, kInstances> m_instances;
  std::array<FakeEndpoint, kAddresses> m_endpoints;
  std::vector<CallRecord> m_calls;
  /** Runs of calls of the account that has a quota, within the last window. */
  std::deque<TimePoint> m_limited_runs;
  std::map<std::pair<size_t, uint64_t>, size_t> m_calls_by_ticket;
  std::array<uint64_t, kInstances> m_last_generations{};
  /** When the store acknowledged each generation, indexed by generation. */
  std::vector<TimePoint> m_generations_acknowledged_at;
  uint64_t m_last_ticket = 0;
  uint64_t m_last_incarnation = 1'000;
  uint64_t m_last_endpoint_number = 0;
  size_t m_store_call_count = 0;
  Millis m_read_lag{0};
  double m_gossip_drop_rate = 0.0;
  bool m_store_down = false;
  std::vector<size_t> m_expired_addresses;
  /** Evacuated failure domains, with the time at which the store acknowledged the evacuation. */
  std::map<std::string, TimePoint> m_evacuated_at;
  TimePoint m_store_undisturbed_since;
  TimePoint m_gossip_undisturbed_since;
  EffectsDigest m_effects_digest;
  std::string m_first_violation;
};

}  // namespace sassafras
