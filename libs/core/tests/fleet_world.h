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
class FleetWorld {
 public:
  using Millis = std::chrono::milliseconds;
  enum class StoreMode { kAnswers, kRefuses, kSilent };

  static constexpr size_t kInstances = 5;
  static constexpr size_t kAddresses = 8;
  static constexpr Millis kDeadline{1'500};

  explicit FleetWorld(uint64_t seed);
  ~FleetWorld();

  void Advance(Millis time);

  /** Sends a call that may, or may not, be repeated; returns its number. */
  size_t Call(size_t instance, bool repeat_safe);
  void HangUp(size_t call);

  void Freeze(size_t instance);
  void Thaw(size_t instance);
  void Kill(size_t instance);
  void Restart(size_t instance);
  void StopGracefully(size_t instance);
  void SetCut(size_t instance, bool cut);
  /** How the store treats one instance, as it does in a cut or when it turns some away. */
  void SetStoreMode(size_t instance, StoreMode mode);
  /** The store is away for all; with `lapse` the entries of all endpoints run out meanwhile. */
  void TakeStoreDown(StoreMode mode, bool lapse);
  /** The store answers again; entries that lapsed are back a little later. */
  void BringStoreBack();
  /** How old readings are that may lag. */
  void SetLag(Millis lag) { m_lag = lag; }
  void ForgetHistory() { m_store.Forget(); }
  /** Moves the route of repeatable calls to the other service. */
  void MoveRoute();
  /** The endpoint at an address announces that it leaves, serves a little longer and ends. */
  void Drain(size_t address);
  /** The endpoint ends at once; its entry stays until its lease has run out. */
  void Crash(size_t address);
  /** A free address is taken by an endpoint of a service. */
  void Occupy(size_t address, bool other_service);
  /** The endpoint starts again under its name. */
  void Reborn(size_t address);
  /** Somebody else writes an entry that cannot be read, under the name of nobody. */
  void WriteDamagedEntry();
  void SetLosingAnswers(size_t address, bool losing) { m_endpoints[address].losing = losing; }
  void SetDropRate(double rate) { m_drop_rate = rate; }

  /** First broken promise, or empty. */
  const std::string& Violation() const { return m_violation; }
  /** Heals everything, lets time pass and checks what must hold then. */
  void Settle();

  bool IsUp(size_t instance) const { return m_instances[instance].state != nullptr; }
  bool IsFrozen(size_t instance) const { return m_instances[instance].frozen; }
  bool IsTaken(size_t address) const { return m_endpoints[address].up; }
  const State& StateOf(size_t instance) const { return *m_instances[instance].state; }
  size_t CallCount() const { return m_calls.size(); }
  size_t AnsweredCount() const;
  /** Calls that a reading of the store has cost, whatever its price. */
  size_t StoreCalls() const { return m_store_calls; }
  uint64_t RosterRevision() const { return m_store.roster_revision; }

 private:
  struct Instance {
    std::unique_ptr<State> state;
    uint64_t incarnation = 0;
    bool frozen = false;
    bool cut = false;
    StoreMode store_mode = StoreMode::kAnswers;
    std::vector<std::function<Event::Any()>> held;
    bool watching = false;
    bool reading = false;
    bool reading_whole = false;
    bool fetching = false;
    uint64_t roster_revision = 0;
    TimePoint next_tick;
    /** Since when nothing has been done to it. */
    TimePoint calm_since;
  };
  /** What listens at one address. */
  struct FakeEndpoint {
    std::string name;
    bool other_service = false;
    bool up = false;
    bool draining = false;
    bool losing = false;
    uint64_t born = 0;
    size_t running = 0;
    /** When the store acknowledged that it leaves or is gone. */
    std::optional<TimePoint> left_at;
    TimePoint free_at{};
  };
  struct CallRecord {
    bool repeat_safe = false;
    size_t instance = 0;
    uint64_t incarnation = 0;
    uint64_t ticket = 0;
    CallHandle handle;
    TimePoint sent_at;
    bool told = false;
    bool hung_up = false;
    bool answered = false;
    std::optional<Reason> refused;
    size_t runs = 0;
  };
  struct Later {
    TimePoint at;
    uint64_t order = 0;
    std::function<void()> act;
    bool operator<(const Later& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
  };

  void After(Duration delay, std::function<void()> act);
  Duration NetworkDelay();
  void Deliver(size_t instance, uint64_t incarnation, std::function<Event::Any()> make);
  void React(size_t instance, const Event::Any& event);
  void Start(size_t instance);
  void Disturb(size_t instance) { m_instances[instance].calm_since = m_now; }
  /** Whether nothing was done to the instance or the store for the time that the pages grant. */
  bool WasInTouch(size_t instance) const;
  void PutEntry(size_t address);
  std::shared_ptr<const Lists> ListsOf(uint64_t generation) const;

  void On(size_t instance, const Effect::Accepted& effect);
  void On(size_t instance, const Effect::Dispatch& effect);
  void On(size_t instance, const Effect::Reject& effect);
  void On(size_t instance, const Effect::SendRecordedAnswer& effect);
  void On(size_t instance, const Effect::SendProbe& effect);
  void On(size_t instance, const Effect::ArmLoadQueryTimer& effect);
  void On(size_t instance, const Effect::ReadEndpoints& effect);
  void On(size_t instance, const Effect::ReadRoster& effect);
  void On(size_t instance, const Effect::WriteRoster& effect);
  void On(size_t instance, const Effect::SendGossip& effect);
  void On(size_t instance, const Effect::FetchLists& effect);
  void On(size_t instance, const Effect::PollStore& effect);
  void On(size_t instance, const Effect::WatchStore& effect);
  void On(size_t instance, const Effect::CloseListeners& effect);
  void On(size_t /*instance*/, const Effect::RestoreLists& /*effect*/) {}
  void On(size_t /*instance*/, const Effect::ClaimSeat& /*effect*/) {}
  void On(size_t /*instance*/, const Effect::ReleaseSeat& /*effect*/) {}
  void On(size_t /*instance*/, const Effect::WriteLogRecord& /*effect*/) {}

  /** Runs `answer` when the store has answered the instance, or `failed` when the call is given up. */
  void AskStore(size_t instance, std::function<void()> answer, std::function<void()> failed);
  void ReadStore(size_t instance, const Effect::ReadEndpoints& read, TimePoint give_up);
  void TellStoreRead(size_t instance, uint64_t incarnation, bool ok);
  void WatchOnce(size_t instance, uint64_t incarnation, uint64_t generation, TimePoint until);
  void RunAt(size_t address, size_t call, size_t instance, const Effect::Dispatch& dispatch, const std::string& name);
  void EndAttempt(size_t instance, size_t call, const Effect::Dispatch& dispatch, AttemptResult result, bool wrong);
  LoadReport ReportOf(const FakeEndpoint& endpoint) const;
  void CheckRun(const FakeEndpoint& endpoint, const CallRecord& call);
  void CheckGenerations();
  void Violate(const std::string& what);
  int InstanceByPeerAddress(const std::string& address) const;

  std::mt19937_64 m_random;
  TimePoint m_now;
  std::priority_queue<Later> m_later;
  uint64_t m_order = 0;
  FakeStore m_store;
  std::array<Instance, kInstances> m_instances;
  std::array<FakeEndpoint, kAddresses> m_endpoints;
  std::vector<CallRecord> m_calls;
  std::map<std::pair<size_t, uint64_t>, size_t> m_by_ticket;
  std::array<uint64_t, kInstances> m_generations{};
  /** When each generation was acknowledged, by its number. */
  std::vector<TimePoint> m_acknowledged;
  uint64_t m_last_ticket = 0;
  uint64_t m_next_incarnation = 1'000;
  uint64_t m_next_name = 0;
  size_t m_store_calls = 0;
  Millis m_lag{0};
  double m_drop_rate = 0.0;
  bool m_store_down = false;
  std::vector<size_t> m_lapsed;
  TimePoint m_store_calm_since;
  TimePoint m_gossip_calm_since;
  std::string m_violation;
};

}  // namespace sassafras
