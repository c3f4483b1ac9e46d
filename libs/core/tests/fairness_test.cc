#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "single_instance.h"

namespace sassafras {
namespace {

using Millis = SingleInstance::Millis;
using Dispatch = Effect::Dispatch;
using SendProbe = Effect::SendProbe;
using Reject = Effect::Reject;

constexpr size_t kEndpoints = 3;
constexpr uint32_t kSlots = 6;
/** So long that a call that waits in the queue of an endpoint would end late. */
constexpr Millis kMinServiceTime{100};
constexpr uint64_t kServiceTimeSpan = 200;

/** Calls of several accounts at one instance whose endpoints have too few slots for them. */
class FullEndpoints {
 public:
  struct Counts {
    size_t sent = 0;
    size_t dispatched = 0;
    double Share() const { return static_cast<double>(dispatched) / static_cast<double>(std::max<size_t>(1, sent)); }
  };

  /** @param rates  limit of each account; 0 for none */
  explicit FullEndpoints(const std::vector<double>& rates) : m_instance(MakeOptions()), m_counts(rates.size()) {
    Lists lists = SingleInstance::MakeLists("s");
    for (size_t i = 0; i < rates.size(); ++i) {
      Account account;
      account.name = "a" + std::to_string(i);
      account.keys = {account.name};
      account.rate_per_second = rates[i];
      // So that only the slots are scarce.
      account.burst = 1'000'000;
      lists.accounts.push_back(account);
    }
    m_instance.ReceiveLists(1, lists);
    std::vector<EndpointChange> changes;
    for (size_t i = 0; i < kEndpoints; ++i)
      changes.push_back(SingleInstance::MakeChange("e" + std::to_string(i), 10 + i));
    m_instance.ReceiveEndpoints(changes, true, 100);
  }

  /** Runs `rounds` rounds of one millisecond; in each, account i sends calls[i] calls on average. */
  void Run(const std::vector<double>& calls, size_t rounds) {
    for (size_t round = 0; round < rounds; ++round) {
      m_instance.Advance(Millis(1));
      m_instance.HandleEvent(Event::Tick{m_instance.Now()});
      for (size_t i = 0; i < calls.size(); ++i) {
        for (int count = std::poisson_distribution<int>(calls[i])(m_random); count > 0; --count)
          SendCall(i);
      }
      FireTimers();
      while (!m_running.empty() && m_running.begin()->first <= m_instance.Now())
        EndFirst();
    }
  }

  const Counts& CountsOf(size_t account) const { return m_counts[account]; }
  Counts Total() const {
    Counts total;
    for (const Counts& counts : m_counts) {
      total.sent += counts.sent;
      total.dispatched += counts.dispatched;
    }
    return total;
  }

 private:
  struct Timer {
    TimePoint at;
    CallHandle call;
  };

  static StateOptions MakeOptions() {
    StateOptions options;
    options.load_probes_per_endpoint_per_second = 10'000;
    options.hedging = false;
    return options;
  }

  void SendCall(size_t account) {
    ++m_counts[account].sent;
    Event::CallArrived event;
    event.now = m_instance.Now();
    event.ticket = ++m_ticket;
    event.plan = m_instance.GetState().FindPlan("", "GET", "/x");
    event.account = m_instance.GetState().FindAccount("a" + std::to_string(account));
    event.time_left = Millis(2'000);
    event.fingerprint = m_ticket;
    m_accounts[m_ticket] = account;
    Handle(m_instance.HandleEvent(event));
  }

  void Handle(const Effects& received) {
    // The next event overwrites those received.
    const Effects effects(received.begin(), received.end());
    for (const auto& accepted : SingleInstance::EffectsOfType<Effect::Accepted>(effects))
      m_calls[accepted.ticket] = accepted.call;
    for (const Dispatch& dispatch : SingleInstance::EffectsOfType<Dispatch>(effects)) {
      ++m_counts[m_accounts.at(dispatch.ticket)].dispatched;
      ++m_in_flight[dispatch.endpoint.Index()];
      m_running.emplace(m_instance.Now() + kMinServiceTime + Millis(m_random() % kServiceTimeSpan), dispatch);
    }
    for (const auto& timer : SingleInstance::EffectsOfType<Effect::ArmProbeWaitTimer>(effects))
      m_timers.push_back({timer.at, m_calls.at(timer.ticket)});
    for (const SendProbe& probe : SingleInstance::EffectsOfType<SendProbe>(effects))
      Handle(m_instance.AnswerProbe(probe, m_in_flight[probe.endpoint.Index()], 1.0F));
  }

  void FireTimers() {
    const std::vector<Timer> timers = std::exchange(m_timers, {});
    for (const Timer& timer : timers) {
      if (timer.at <= m_instance.Now())
        Handle(m_instance.HandleEvent(Event::ProbeWaitExpired{m_instance.Now(), timer.call}));
      else
        m_timers.push_back(timer);
    }
  }

  void EndFirst() {
    const Dispatch dispatch = m_running.begin()->second;
    m_running.erase(m_running.begin());
    Event::AttemptEnded ended;
    ended.now = m_instance.Now();
    ended.call = dispatch.call;
    ended.endpoint = dispatch.endpoint;
    ended.load.present = true;
    ended.load.slots = kSlots;
    ended.load.in_flight = --m_in_flight[dispatch.endpoint.Index()];
    ended.load.slowdown = 1.0F;
    Handle(m_instance.HandleEvent(ended));
  }

  SingleInstance m_instance;
  std::vector<Counts> m_counts;
  std::map<uint64_t, size_t> m_accounts;
  std::map<uint64_t, CallHandle> m_calls;
  std::map<uint32_t, uint32_t> m_in_flight;
  std::multimap<TimePoint, Dispatch> m_running;
  std::vector<Timer> m_timers;
  uint64_t m_ticket = 0;
  std::mt19937_64 m_random{1};
};

// Guards against the account with the most calls taking nearly all slots, and against too strict a limit for it.
TEST_CASE("fairness: a hot account beside others while all endpoints are full") {
  for (const double hot : {0.1, 0.4, 1.2}) {
    CAPTURE(hot);
    FullEndpoints load({0, 0, 0, 0, 0});
    load.Run({hot, 0.015, 0.015, 0.015, 0.015}, 20'000);
    const double all = load.Total().Share();
    CAPTURE(all);
    for (size_t i = 0; i < 5; ++i) {
      CAPTURE(i);
      CAPTURE(load.CountsOf(i).Share());
      CHECK(load.CountsOf(i).Share() >= all / 4);
    }
    // Those that ask for less than their part get most of it.
    for (size_t i = 1; i < 5; ++i)
      CHECK(load.CountsOf(i).Share() >= 0.5);
  }
}

// Guards against equal parts for accounts whose rates differ.
TEST_CASE("fairness: free slots are divided by the rates of the accounts while all endpoints are full") {
  FullEndpoints load({1'000, 4'000});
  load.Run({0.1, 0.1}, 20'000);
  CHECK(load.CountsOf(1).dispatched > 2 * load.CountsOf(0).dispatched);
  CHECK(load.CountsOf(0).Share() >= load.Total().Share() / 4);
}

}  // namespace
}  // namespace sassafras
