#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "core/effect.h"
#include "core/event.h"
#include "core/state.h"
#include "lists/lists.h"

namespace sassafras {

/**
 * Several reducers on one virtual clock, joined by datagrams, whose accounts have quotas.
 *
 * Endpoints always have room, so that only quotas reject calls. Counts what was dispatched as the endpoints see it.
 */
class QuotaFleet {
 public:
  using Millis = std::chrono::milliseconds;

  /** Calls of one account at some instances, as a Poisson process. */
  struct Load {
    size_t account = 0;
    std::vector<size_t> instances;
    double per_second = 0;
    /** Whether callers send again after the Retry-After of a rejection. */
    bool returns = false;
  };
  struct Counts {
    size_t sent = 0;
    size_t served = 0;
    size_t rejected = 0;
    /** Calls sent after a Retry-After, and those of them rejected again. */
    size_t returned = 0;
    size_t returned_rejected = 0;
  };

  QuotaFleet(size_t instances, std::vector<Account> accounts, uint64_t seed = 1);

  static Account MakeAccount(const std::string& name, double rate, double burst);

  /** Replaces all loads. */
  void SetLoads(std::vector<Load> loads);
  void Advance(Millis time);
  void Kill(size_t instance);
  void Restart(size_t instance);
  void SetIsolated(size_t instance, bool isolated) { m_instances[instance].isolated = isolated; }
  /** Separates the first `count` instances from the others; 0 for none. */
  void SetPartition(size_t count) { m_partition = count; }
  void SetLossRate(double rate) { m_loss_rate = rate; }
  /** Makes the answer of each attempt a refusal with this probability, so that calls are tried again. */
  void SetBrokenRate(double rate) { m_broken_rate = rate; }
  /** Publishes new limits; each instance applies them within a second. */
  void SetAccounts(std::vector<Account> accounts);

  /** All instances. */
  std::vector<size_t> All() const;
  const Counts& CountsOf(size_t account) const { return m_counts[account]; }
  void ResetCounts() { m_counts.assign(m_counts.size(), {}); }
  size_t DatagramCount() const { return m_datagram_count; }
  size_t LogRecordCount() const { return m_log_record_count; }
  const State& StateOf(size_t instance) const { return *m_instances[instance].state; }
  /** Share of calls of the account that were rejected. */
  double RejectedShare(size_t account) const;
  /**
   * Returns the most dispatches of the account in any 5 s that begin at or after `from`, relative to the number that
   * its limit permits: (rate x 5 + burst) x 1.1 + 20.
   */
  double WorstWindow(size_t account, TimePoint from = TimePoint()) const;
  TimePoint Now() const { return m_now; }

 private:
  struct Instance {
    std::unique_ptr<State> state;
    uint64_t incarnation = 0;
    bool isolated = false;
    TimePoint next_tick;
  };
  struct Call {
    size_t account = 0;
    size_t instance = 0;
    bool returns = false;
    bool returned = false;
  };
  struct Action {
    TimePoint at;
    uint64_t sequence = 0;
    std::function<void()> run;
    bool operator<(const Action& other) const { return std::tie(other.at, other.sequence) < std::tie(at, sequence); }
  };

  void RunAfter(Duration delay, std::function<void()> action);
  void HandleEvent(size_t instance, const Event::Any& event);
  void HandleEffect(size_t instance, const Effect::Any& effect);
  void SendDatagram(size_t instance, const Effect::SendGossip& effect);
  void RunRequest(size_t instance, const Effect::Dispatch& dispatch);
  void OnReject(const Effect::Reject& reject);
  void Arrive(size_t load, uint64_t generation);
  void SendCall(const Call& call);
  void DeliverLists(size_t instance);
  Duration NetworkDelay();

  std::mt19937_64 m_random;
  TimePoint m_now{std::chrono::hours(1)};
  std::priority_queue<Action> m_actions;
  uint64_t m_last_sequence = 0;
  std::vector<Instance> m_instances;
  std::vector<Account> m_accounts;
  uint64_t m_generation = 1;
  uint64_t m_last_incarnation = 0;
  std::vector<Load> m_loads;
  uint64_t m_loads_generation = 0;
  std::vector<Call> m_calls;
  std::vector<Counts> m_counts;
  std::vector<std::vector<TimePoint>> m_dispatches;
  size_t m_partition = 0;
  double m_loss_rate = 0;
  double m_broken_rate = 0;
  size_t m_datagram_count = 0;
  size_t m_log_record_count = 0;
};

}  // namespace sassafras
