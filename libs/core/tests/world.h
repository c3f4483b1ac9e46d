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
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "core/effect.h"
#include "core/event.h"
#include "core/recorded_answer.h"
#include "core/state.h"
#include "lists/lists.h"

namespace sassafras {

/**
 * Several reducers on one virtual clock, joined by a network that delays, drops and repeats, with small fakes
 * of endpoints and platform, and an oracle that knows only what endpoints ran and what callers were told.
 */
class World {
 public:
  using Millis = std::chrono::milliseconds;

  static constexpr size_t kInstances = 4;
  static constexpr size_t kEndpoints = 6;
  static constexpr size_t kSeats = 16;
  static constexpr double kProbeBudget = 2.0;
  static constexpr Millis kDeadline{2'000};

  explicit World(uint64_t seed);
  ~World();

  void Advance(Millis time);

  /** Sends a new call of the plan that may, or may not, be repeated; returns its number. */
  size_t Call(size_t instance, bool repeat_safe, bool poison = false);
  /** Sends the same keyed call again to another instance. */
  void Resend(size_t call, size_t instance);
  /** The caller of the latest send of the call goes away. */
  void HangUp(size_t call);

  void Freeze(size_t instance);
  void Thaw(size_t instance);
  void Kill(size_t instance);
  void Restart(size_t instance);
  void StopGracefully(size_t instance);
  void SetPlatform(bool up) { m_platform_up = up; }
  /** The platform's store comes back as it was some changes ago. */
  void RollBackStore();
  /** Cuts the instance off from all peers, or joins it again. */
  void SetCut(size_t instance, bool cut);
  void ApplyLists();
  void Drain(size_t endpoint);
  void RestartEndpoint(size_t endpoint);
  /** Connections to the endpoint break after it ran requests, for as long as this is on. */
  void SetLosingAnswers(size_t endpoint, bool losing) { m_endpoints[endpoint].losing = losing; }
  void SetDropRate(double rate) { m_drop_rate = rate; }

  /** First broken promise, or empty. */
  const std::string& Violation() const { return m_violation; }
  /** Heals everything, lets time pass and checks what must hold then. */
  void Settle();

  size_t CallCount() const { return m_calls.size(); }
  size_t RunCount(size_t call) const;
  bool IsUp(size_t instance) const { return m_instances[instance].state != nullptr; }
  bool IsFrozen(size_t instance) const { return m_instances[instance].frozen; }
  const State& StateOf(size_t instance) const { return *m_instances[instance].state; }
  size_t EndpointsCrashed() const { return m_crashes; }
  size_t ProbesOf(size_t endpoint) const { return m_endpoints[endpoint].probes.size(); }
  size_t AnsweredCount() const;
  /** Requests of the instance that reached the endpoint while it was leaving. */
  size_t RequestsWhileLeaving(size_t endpoint, size_t instance) const;
  TimePoint Now() const { return m_now; }

 private:
  struct Instance {
    std::unique_ptr<State> state;
    uint64_t incarnation = 0;
    bool frozen = false;
    bool cut = false;
    /** Events that arrived while the process was frozen. */
    std::vector<std::function<Event::Any()>> held;
    /** Seats the platform leased to it. */
    std::set<uint32_t> seats;
    TimePoint next_tick;
    /** Since when it has been running and joined to its peers. */
    TimePoint joined_at;
  };
  struct Sign {
    size_t instance = 0;
    uint64_t incarnation = 0;
    TimePoint at;
  };
  struct FakeEndpoint {
    uint64_t incarnation = 1;
    bool up = true;
    bool draining = false;
    bool losing = false;
    size_t running = 0;
    std::vector<TimePoint> probes;
    /** Instances that learned from the endpoint itself that it leaves, and when. */
    std::vector<Sign> signs;
    std::array<size_t, kInstances> late_requests{};
  };
  /** One logical call of a caller, and what was told for each of its sends. */
  struct Record {
    bool repeat_safe = false;
    bool poison = false;
    std::string owner;
    uint64_t owner_incarnation = 0;
    uint32_t owner_epoch = 0;
    std::vector<size_t> sends;
    size_t runs = 0;
  };
  struct Send {
    size_t call = 0;
    size_t instance = 0;
    uint64_t incarnation = 0;
    uint64_t ticket = 0;
    CallHandle handle;
    TimePoint sent_at;
    bool told = false;
    bool hung_up = false;
    std::optional<Outcome> outcome;
    std::optional<Reason> reason;
    bool answered = false;
    size_t runs = 0;
  };
  struct Seat {
    int holder = -1;
    uint64_t incarnation = 0;
    TimePoint until{};
  };
  struct Later {
    TimePoint at;
    uint64_t order = 0;
    std::function<void()> act;
    bool operator<(const Later& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
  };

  void After(Duration delay, std::function<void()> act);
  Duration RandomDelay(Millis low, Millis high);
  /** Gives an event to an instance; a frozen one gets it when it wakes, a dead one never. */
  void Deliver(size_t instance, uint64_t incarnation, std::function<Event::Any()> make);
  void React(size_t instance, const Event::Any& event);
  void Start(size_t instance);
  void SendTo(size_t call, size_t instance);

  void On(size_t instance, const Effect::Accepted& effect);
  void On(size_t instance, const Effect::Dispatch& effect);
  void On(size_t instance, const Effect::Reject& effect);
  void On(size_t instance, const Effect::SendRecordedAnswer& effect);
  void On(size_t instance, const Effect::SendProbe& effect);
  void On(size_t instance, const Effect::ArmLoadQueryTimer& effect);
  void On(size_t instance, const Effect::ReadEndpoints& effect);
  void On(size_t instance, const Effect::SendGossip& effect);
  void On(size_t instance, const Effect::FetchLists& effect);
  void On(size_t instance, const Effect::PollStore& effect);
  void On(size_t instance, const Effect::WatchStore& effect);
  void On(size_t instance, const Effect::ReadRoster& effect);
  void On(size_t instance, const Effect::WriteRoster& effect);
  void On(size_t instance, const Effect::RestoreLists& effect);
  void On(size_t instance, const Effect::ClaimSeat& effect);
  void On(size_t instance, const Effect::ReleaseSeat& effect);
  void On(size_t instance, const Effect::CloseListeners& effect);
  void On(size_t instance, const Effect::WriteLogRecord& effect);

  void RunAt(size_t endpoint, size_t send, size_t instance, const Effect::Dispatch& dispatch);
  void EndAttempt(size_t instance,
                  uint64_t incarnation,
                  const Effect::Dispatch& dispatch,
                  AttemptResult result,
                  LoadReport load,
                  std::shared_ptr<const RecordedAnswer> answer);
  void Tell(size_t instance,
            uint64_t ticket,
            std::optional<Outcome> outcome,
            std::optional<Reason> reason,
            const RecordedAnswer* answer);
  LoadReport ReportOf(const FakeEndpoint& endpoint) const;
  void Violate(const std::string& what);
  void CheckSend(const Send& send);
  void CheckProbes(size_t endpoint);
  /** A request reached a leaving endpoint: was there time for word of that to reach the sender? */
  void CheckLeaving(size_t endpoint, size_t sender);
  /** Whether the instance has been running and joined to its peers since `time`. */
  bool WasInTouch(size_t instance, TimePoint time) const;
  void CheckGenerations();
  size_t EndpointIndex(size_t instance, EndpointHandle handle) const;
  int InstanceByPeerAddress(const std::string& address) const;
  std::vector<Member> DirectoryMembers() const;

  std::mt19937_64 m_random;
  TimePoint m_now;
  std::priority_queue<Later> m_later;
  uint64_t m_order = 0;
  std::array<Instance, kInstances> m_instances;
  std::array<FakeEndpoint, kEndpoints> m_endpoints;
  std::array<Seat, kSeats> m_seats;
  std::vector<Record> m_calls;
  std::vector<Send> m_sends;
  std::map<std::pair<size_t, uint64_t>, size_t> m_by_ticket;
  std::array<uint64_t, kInstances> m_generations{};
  uint64_t m_last_ticket = 0;
  uint64_t m_next_incarnation = 1'000;
  uint64_t m_store_generation = 1;
  uint64_t m_accepted_generation = 1;
  std::shared_ptr<const Lists> m_lists;
  bool m_platform_up = true;
  double m_drop_rate = 0.0;
  size_t m_crashes = 0;
  std::string m_violation;
};

}  // namespace sassafras
