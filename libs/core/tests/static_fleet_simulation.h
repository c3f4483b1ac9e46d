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
#include "effects_digest.h"
#include "lists/lists.h"

namespace sassafras {

/**
 * Simulates a fleet whose endpoints are listed statically in the lists.
 *
 * Several reducers run on one virtual clock. The simulated network delays, drops and duplicates gossip; endpoints and
 * the platform are small fakes. Guarantees are checked only against what endpoints ran and what callers were told.
 */
class StaticFleetSimulation {
 public:
  using Millis = std::chrono::milliseconds;

  static constexpr size_t kInstances = 4;
  static constexpr size_t kEndpoints = 6;
  static constexpr size_t kProbeSeats = 16;
  static constexpr double kProbesPerSecond = 2.0;
  static constexpr Millis kCallDeadline{2'000};

  explicit StaticFleetSimulation(uint64_t seed);
  ~StaticFleetSimulation();

  void Advance(Millis time);

  /**
   * Sends a new call under the plan that allows repeats, or under the one that does not; returns its index.
   * A poison call crashes each endpoint that runs it.
   */
  size_t SendCall(size_t instance, bool repeat_safe, bool poison = false);
  /** Sends the call again, with the same idempotency key if it has one, to `instance`. */
  void Resend(size_t call, size_t instance);
  /** Disconnects the caller of the latest send of the call. */
  void DisconnectCaller(size_t call);

  void Pause(size_t instance);
  void Resume(size_t instance);
  void Kill(size_t instance);
  void Restart(size_t instance);
  void StopGracefully(size_t instance);
  void SetPlatformAvailable(bool up) { m_platform_available = up; }
  /** Reverts the platform's store by one generation, as after a restore from a backup. */
  void RollBackStore();
  /** Disconnects the instance from all peers, or reconnects it. */
  void SetIsolated(size_t instance, bool isolated);
  /** Publishes a new generation, unless the platform is unavailable or its store was rolled back. */
  void PublishLists();
  void Drain(size_t endpoint);
  void RestartEndpoint(size_t endpoint);
  /** While set, the endpoint runs requests, but its connection breaks before the answer is sent. */
  void SetLosesAnswers(size_t endpoint, bool loses_answers) { m_endpoints[endpoint].loses_answers = loses_answers; }
  void SetGossipDropRate(double rate) { m_gossip_drop_rate = rate; }

  /** The first guarantee that was violated, with its virtual time; empty if none was. */
  const std::string& FirstViolation() const { return m_first_violation; }
  /** Hash over all effects so far; the same in every process for the same seed and steps. */
  uint64_t EffectsHash() const { return m_effects_digest.Value(); }
  /**
   * Restores the network and the platform, resumes paused instances, advances 15 s and checks the guarantees that must
   * hold by then.
   */
  void RecoverAndCheck();

  size_t CallCount() const { return m_calls.size(); }
  size_t RunCount(size_t call) const;
  bool IsUp(size_t instance) const { return m_instances[instance].state != nullptr; }
  bool IsPaused(size_t instance) const { return m_instances[instance].paused; }
  const State& StateOf(size_t instance) const { return *m_instances[instance].state; }
  size_t EndpointCrashCount() const { return m_endpoint_crashes; }
  size_t ProbeCount(size_t endpoint) const { return m_endpoints[endpoint].probe_times.size(); }
  size_t AnsweredCount() const;
  /** Number of requests from the instance that reached the endpoint while it was leaving. */
  size_t RequestsWhileLeaving(size_t endpoint, size_t instance) const;
  TimePoint Now() const { return m_now; }

 private:
  struct Instance {
    std::unique_ptr<State> state;
    uint64_t incarnation = 0;
    bool paused = false;
    bool isolated = false;
    /** Events that arrived while the process was paused, in order of arrival. */
    std::vector<std::function<Event::Any()>> deferred_events;
    /** Probe seats that the platform leased to the instance. */
    std::set<uint32_t> leased_seats;
    TimePoint next_tick;
    /** Since when the instance has been running and connected to its peers. */
    TimePoint connected_since;
  };
  /** When an instance learned from an endpoint itself that the endpoint is leaving. */
  struct DrainNotice {
    size_t instance = 0;
    uint64_t incarnation = 0;
    TimePoint at;
  };
  struct FakeEndpoint {
    uint64_t incarnation = 1;
    bool up = true;
    bool draining = false;
    bool loses_answers = false;
    size_t requests_running = 0;
    std::vector<TimePoint> probe_times;
    std::vector<DrainNotice> drain_notices;
    std::array<size_t, kInstances> requests_while_leaving{};
  };
  /** One call of a caller, which may be sent several times. */
  struct LogicalCall {
    bool repeat_safe = false;
    bool poison = false;
    std::string owner;
    uint64_t owner_incarnation = 0;
    uint32_t owner_epoch = 0;
    std::vector<size_t> sends;
    size_t runs = 0;
  };
  /** One send of a call to an instance, and the reply that the caller received. */
  struct Send {
    size_t call = 0;
    size_t instance = 0;
    uint64_t incarnation = 0;
    uint64_t ticket = 0;
    CallHandle handle;
    TimePoint sent_at;
    /** Whether the caller was answered or rejected, or lost its connection because the instance was killed. */
    bool completed = false;
    bool caller_disconnected = false;
    std::optional<Outcome> outcome;
    std::optional<Reason> reason;
    bool answered = false;
    size_t runs = 0;
  };
  struct ProbeSeat {
    int holder = -1;
    uint64_t incarnation = 0;
    TimePoint expires_at{};
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
  Duration RandomDelay(Millis low, Millis high);
  /**
   * Delivers an event to an instance. A paused instance handles it when it is resumed; the event is dropped if the
   * instance is down or runs under another incarnation.
   */
  void DeliverEvent(size_t instance, uint64_t incarnation, std::function<Event::Any()> make_event);
  void HandleEvent(size_t instance, const Event::Any& event);
  void StartInstance(size_t instance);
  void SendToInstance(size_t call, size_t instance);

  void HandleEffect(size_t instance, const Effect::Accepted& effect);
  void HandleEffect(size_t instance, const Effect::Dispatch& effect);
  void HandleEffect(size_t instance, const Effect::Reject& effect);
  void HandleEffect(size_t instance, const Effect::SendRecordedAnswer& effect);
  void HandleEffect(size_t instance, const Effect::SendProbe& effect);
  void HandleEffect(size_t instance, const Effect::ArmProbeWaitTimer& effect);
  void HandleEffect(size_t instance, const Effect::ReadEndpoints& effect);
  void HandleEffect(size_t instance, const Effect::SendGossip& effect);
  void HandleEffect(size_t instance, const Effect::FetchLists& effect);
  void HandleEffect(size_t instance, const Effect::PollStore& effect);
  void HandleEffect(size_t instance, const Effect::WatchStore& effect);
  void HandleEffect(size_t instance, const Effect::ReadRoster& effect);
  void HandleEffect(size_t instance, const Effect::WriteRoster& effect);
  void HandleEffect(size_t instance, const Effect::RestoreLists& effect);
  void HandleEffect(size_t instance, const Effect::ClaimSeat& effect);
  void HandleEffect(size_t instance, const Effect::ReleaseSeat& effect);
  void HandleEffect(size_t instance, const Effect::CloseListeners& effect);
  void HandleEffect(size_t instance, const Effect::WriteLogRecord& effect);

  void HandleRequest(size_t endpoint, size_t send, size_t instance, const Effect::Dispatch& dispatch);
  void DeliverAttemptEnd(size_t instance,
                         uint64_t incarnation,
                         const Effect::Dispatch& dispatch,
                         AttemptResult result,
                         LoadReport load,
                         std::shared_ptr<const RecordedAnswer> answer);
  void CompleteSend(size_t instance,
                    uint64_t ticket,
                    std::optional<Outcome> outcome,
                    std::optional<Reason> reason,
                    const RecordedAnswer* answer);
  LoadReport MakeLoadReport(const FakeEndpoint& endpoint) const;
  void ReportViolation(const std::string& what);
  void CheckSend(const Send& send);
  void CheckProbeRate(size_t endpoint);
  /** Reports a violation if the sender of a request to a leaving endpoint had kMaxLeavingNoticeDelay to learn of it. */
  void CheckRequestWhileLeaving(size_t endpoint, size_t sender);
  /** Whether the instance has been running and connected to its peers since `time`. */
  bool WasConnectedSince(size_t instance, TimePoint time) const;
  void CheckGenerations();
  size_t EndpointIndex(size_t instance, EndpointHandle handle) const;
  int InstanceByPeerAddress(const std::string& address) const;
  std::vector<Member> DirectoryMembers() const;

  std::mt19937_64 m_random;
  TimePoint m_now;
  std::priority_queue<ScheduledAction> m_scheduled;
  uint64_t m_last_sequence = 0;
  std::array<Instance, kInstances> m_instances;
  std::array<FakeEndpoint, kEndpoints> m_endpoints;
  std::array<ProbeSeat, kProbeSeats> m_probe_seats;
  std::vector<LogicalCall> m_calls;
  std::vector<Send> m_sends;
  std::map<std::pair<size_t, uint64_t>, size_t> m_sends_by_ticket;
  std::array<uint64_t, kInstances> m_last_generations{};
  uint64_t m_last_ticket = 0;
  uint64_t m_last_incarnation = 1'000;
  uint64_t m_store_generation = 1;
  /** Highest generation that the store ever accepted; the store is behind it after RollBackStore(). */
  uint64_t m_accepted_generation = 1;
  std::shared_ptr<const Lists> m_lists;
  bool m_platform_available = true;
  double m_gossip_drop_rate = 0.0;
  size_t m_endpoint_crashes = 0;
  EffectsDigest m_effects_digest;
  std::string m_first_violation;
};

}  // namespace sassafras
