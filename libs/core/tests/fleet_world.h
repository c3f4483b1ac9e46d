#pragma once

#include <array>
#include <chrono>
#include <cstdint>
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
#include "fake_store.h"
#include "lists/lists.h"

namespace sassafras {

/**
 * Several reducers on the users' platform, on one virtual clock: endpoints and plans come from a store that lags,
 * forgets, turns instances away and lets entries lapse; addresses are used again by other services. The oracle knows
 * what endpoints ran, what callers were told and when the store acknowledged what.
 */
class PlatformFleetSimulation {
 public:
  using Millis = std::chrono::milliseconds;
  enum class StoreMode { kAnswers, kRefuses, kSilent };

  static constexpr size_t kInstances = 5;
  static constexpr size_t kAddresses = 8;
  static constexpr Millis kCallDeadline{1'500};

  explicit PlatformFleetSimulation(uint64_t seed);
  ~PlatformFleetSimulation();

  void Advance(Millis time);

  /** Sends a call that may, or may not, be repeated; returns its number. */
  size_t SendCall(size_t instance, bool repeat_safe);
  void DisconnectCaller(size_t call);

  void Pause(size_t instance);
  void Resume(size_t instance);
  void Kill(size_t instance);
  void Restart(size_t instance);
  void StopGracefully(size_t instance);
  void SetIsolated(size_t instance, bool isolated);
  /** How the store treats one instance, as it does in a cut or when it turns some away. */
  void SetStoreMode(size_t instance, StoreMode mode);
  /** The store is away for all; with `lapse` the entries of all endpoints run out meanwhile. */
  void TakeStoreDown(StoreMode mode, bool expire_entries);
  /** The store answers again; entries that lapsed are back a little later. */
  void BringStoreUp();
  /** How old readings are that may lag. */
  void SetReadLag(Millis lag) { m_read_lag = lag; }
  void CompactStoreHistory() { m_store.CompactHistory(); }
  /** Moves the route of repeatable calls to the other service. */
  void MoveRoute();
  /** The endpoint at an address announces that it leaves, serves a little longer and ends. */
  void Drain(size_t address);
  /** The endpoint ends at once; its entry stays until its lease has run out. */
  void Crash(size_t address);
  /** A free address is taken by an endpoint of a service. */
  void StartEndpoint(size_t address, bool other_service);
  /** The endpoint starts again under its name. */
  void RestartEndpoint(size_t address);
  /** Somebody else writes an entry that cannot be read, under the name of nobody. */
  void WriteDamagedEntry();
  void SetLosesAnswers(size_t address, bool loses_answers) { m_endpoints[address].loses_answers = loses_answers; }
  void SetGossipDropRate(double rate) { m_gossip_drop_rate = rate; }

  /** First broken promise, or empty. */
  const std::string& FirstViolation() const { return m_first_violation; }
  /** Heals everything, lets time pass and checks what must hold then. */
  void RecoverAndCheck();

  bool IsUp(size_t instance) const { return m_instances[instance].state != nullptr; }
  bool IsPaused(size_t instance) const { return m_instances[instance].paused; }
  bool IsEndpointUp(size_t address) const { return m_endpoints[address].up; }
  const State& StateOf(size_t instance) const { return *m_instances[instance].state; }
  size_t CallCount() const { return m_calls.size(); }
  size_t AnsweredCount() const;
  /** Calls that a reading of the store has cost, whatever its price. */
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
    /** Since when nothing has been done to it. */
    TimePoint undisturbed_since;
  };
  /** What listens at one address. */
  struct FakeEndpoint {
    std::string name;
    bool other_service = false;
    bool up = false;
    bool draining = false;
    bool loses_answers = false;
    uint64_t incarnation = 0;
    size_t requests_running = 0;
    /** When the store acknowledged that it leaves or is gone. */
    std::optional<TimePoint> leave_acknowledged_at;
    TimePoint reusable_at{};
  };
  struct CallRecord {
    bool repeat_safe = false;
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
  /** Whether nothing was done to the instance or the store for the time that the pages grant. */
  bool IsUndisturbed(size_t instance) const;
  void PutEntry(size_t address);
  std::shared_ptr<const Lists> MakeLists(uint64_t generation) const;

  void HandleEffect(size_t instance, const Effect::Accepted& effect);
  void HandleEffect(size_t instance, const Effect::Dispatch& effect);
  void HandleEffect(size_t instance, const Effect::Reject& effect);
  void HandleEffect(size_t instance, const Effect::AnswerRecorded& effect);
  void HandleEffect(size_t instance, const Effect::SendProbe& effect);
  void HandleEffect(size_t instance, const Effect::ArmAsk& effect);
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
  void HandleEffect(size_t /*instance*/, const Effect::WriteNote& /*effect*/) {}

  /** Runs `answer` when the store has answered the instance, or `failed` when the call is given up. */
  void CallStore(size_t instance, std::function<void()> on_answer, std::function<void()> on_failure);
  void LongPollEndpoints(size_t instance, const Effect::ReadEndpoints& read, TimePoint respond_by);
  void DeliverStoreRead(size_t instance, uint64_t incarnation, bool ok);
  void ContinueWatch(size_t instance, uint64_t incarnation, uint64_t generation, TimePoint wait_until);
  void HandleRequest(size_t address,
                     size_t call,
                     size_t instance,
                     const Effect::Dispatch& dispatch,
                     const std::string& name);
  void DeliverAttemptEnd(size_t instance,
                         size_t call,
                         const Effect::Dispatch& dispatch,
                         AttemptResult result,
                         bool is_wrong_endpoint);
  LoadReport MakeLoadReport(const FakeEndpoint& endpoint) const;
  void CheckRun(const FakeEndpoint& endpoint, const CallRecord& call);
  void CheckGenerations();
  void ReportViolation(const std::string& what);
  int InstanceByPeerAddress(const std::string& address) const;

  std::mt19937_64 m_random;
  TimePoint m_now;
  std::priority_queue<ScheduledAction> m_scheduled;
  uint64_t m_last_sequence = 0;
  FakeStore m_store;
  std::array<Instance, kInstances> m_instances;
  std::array<FakeEndpoint, kAddresses> m_endpoints;
  std::vector<CallRecord> m_calls;
  std::map<std::pair<size_t, uint64_t>, size_t> m_calls_by_ticket;
  std::array<uint64_t, kInstances> m_last_generations{};
  /** When each generation was acknowledged, by its number. */
  std::vector<TimePoint> m_generations_acknowledged_at;
  uint64_t m_last_ticket = 0;
  uint64_t m_last_incarnation = 1'000;
  uint64_t m_last_endpoint_number = 0;
  size_t m_store_call_count = 0;
  Millis m_read_lag{0};
  double m_gossip_drop_rate = 0.0;
  bool m_store_down = false;
  std::vector<size_t> m_expired_addresses;
  TimePoint m_store_undisturbed_since;
  TimePoint m_gossip_undisturbed_since;
  std::string m_first_violation;
};

}  // namespace sassafras
