#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "endpoint_feed.h"
#include "lists/lists.h"
#include "platform_fleet_simulation.h"
#include "single_instance.h"

namespace sassafras {
namespace {

using Millis = SingleInstance::Millis;

/**
 * Many instances without contact to each other, each of which knows other members, beside the endpoints of one service.
 * Probes are answered at once. Requests are counted by endpoint.
 */
class IsolatedInstances {
 public:
  static constexpr size_t kInstances = 146;
  static constexpr size_t kEndpoints = 404;
  static constexpr Millis kAnswerTime{20};

  /**
   * The first `warm_count` endpoints are in warm-up. Failure domain "a" has the first `a_count` endpoints; "b" and "c"
   * share the others.
   */
  IsolatedInstances(double warmup_rate, size_t warm_count, size_t a_count = 143)
      : m_warm_count(warm_count), m_a_count(a_count) {
    Lists lists = SingleInstance::MakeLists("s");
    lists.services[0].warmup_rate = warmup_rate;
    const auto shared_lists = std::make_shared<const Lists>(std::move(lists));
    Event::EndpointsReceived endpoints;
    endpoints.now = m_now;
    endpoints.as_of = 1'000;
    endpoints.whole = true;
    for (size_t i = 0; i < kEndpoints; ++i) {
      EndpointChange& change = endpoints.changes.emplace_back();
      change.row = {"e" + std::to_string(i), "s", "127.0.0.1:" + std::to_string(1'000 + i), DomainOf(i), 3, 0};
      change.revision = 1 + i;
      change.incarnation = 1;
      if (i < warm_count)
        change.warmup = std::chrono::minutes(1);
    }
    for (size_t i = 0; i < kInstances; ++i) {
      StateOptions options;
      options.start = m_now;
      options.discovery = true;
      options.ask_first = true;
      options.random_seed = i + 1;
      options.self = MemberAt(i);
      m_states.push_back(std::make_unique<State>(options));
      Handle(i, Event::EvacuationsReceived{m_now, {1, {}}});
      Handle(i, Event::RosterReceived{m_now, KnownMembers(i)});
      Handle(i, Event::ListsReceived{m_now, 1, shared_lists});
      Handle(i, endpoints);
    }
  }

  /** Sends `rate` calls a second for `time`, most of them to the instances of failure domain "a". */
  void Run(Millis time, size_t rate) {
    const TimePoint end = m_now + time;
    constexpr Millis kStep{5};
    double due = 0;
    while (m_now < end) {
      m_now += kStep;
      while (!m_scheduled.empty() && m_scheduled.begin()->first <= m_now) {
        const std::function<void()> action = std::move(m_scheduled.begin()->second);
        m_scheduled.erase(m_scheduled.begin());
        action();
      }
      if (m_now.time_since_epoch() % Millis(250) < kStep) {
        for (size_t i = 0; i < kInstances; ++i)
          Handle(i, Event::Tick{m_now});
      }
      for (due += static_cast<double>(rate) * std::chrono::duration<double>(kStep).count(); due >= 1.0; due -= 1.0)
        SendCall(RandomInstance());
    }
  }

  /** Sends all endpoints of failure domain "a" to warm-up; only their answers to probes say so. */
  void StartWarmup(size_t warm_count) { m_warm_count = warm_count; }

  /** Most requests that an endpoint in warm-up got within a second, at or after `from`. */
  size_t MostInOneSecond(TimePoint from) const {
    size_t most = 0;
    for (size_t i = 0; i < m_warm_count; ++i) {
      const std::vector<TimePoint>& times = m_requests[i];
      auto first = std::lower_bound(times.begin(), times.end(), from);
      for (auto last = first; last != times.end(); ++last) {
        while (*last - *first >= Millis(1'000))
          ++first;
        most = std::max(most, static_cast<size_t>(last - first) + 1);
      }
    }
    return most;
  }

  size_t WarmRequests() const {
    size_t count = 0;
    for (size_t i = 0; i < m_warm_count; ++i)
      count += m_requests[i].size();
    return count;
  }
  size_t DispatchCount() const { return m_dispatch_count; }
  TimePoint Now() const { return m_now; }
  /** One probe in this many gets no answer; 0 for none. */
  size_t unanswered_odds = 0;

 private:
  std::string DomainOf(size_t endpoint) const {
    if (endpoint < m_a_count)
      return "a";
    return endpoint % 2 == 0 ? "b" : "c";
  }

  static Member MemberAt(size_t index) {
    Member member;
    member.name = "i" + std::to_string(index);
    member.failure_domain = std::string(1, static_cast<char>('a' + index % 3));
    member.peer_address = "p" + std::to_string(index);
    member.incarnation = 1;
    return member;
  }

  /** A random part of the fleet, between 70 and 100 of 100 members. */
  std::vector<Member> KnownMembers(size_t self) {
    const uint64_t percent = 70 + m_random() % 31;
    std::vector<Member> members;
    for (size_t i = 0; i < kInstances; ++i) {
      if (i == self || m_random() % 100 < percent)
        members.push_back(MemberAt(i));
    }
    return members;
  }

  size_t RandomInstance() {
    // Every third one is in failure domain "a".
    const size_t instance = m_random() % kInstances;
    return m_random() % 2 == 0 ? instance : instance / 3 * 3;
  }

  void SendCall(size_t instance) {
    Event::CallArrived event;
    event.now = m_now;
    event.ticket = ++m_ticket;
    event.plan = m_states[instance]->FindPlan("", "GET", "/x");
    event.time_left = Millis(2'000);
    event.fingerprint = m_ticket;
    Handle(instance, event);
  }

  void Handle(size_t instance, const Event::Any& event) {
    Effects effects;
    Reduce(*m_states[instance], event, effects);
    for (const Effect::Any& effect : effects) {
      if (const auto* probe = std::get_if<Effect::SendProbe>(&effect))
        AnswerProbe(instance, *probe);
      else if (const auto* dispatch = std::get_if<Effect::Dispatch>(&effect))
        RunRequest(instance, *dispatch);
      else if (const auto* accepted = std::get_if<Effect::Accepted>(&effect))
        m_handles[accepted->ticket] = accepted->call;
      else if (const auto* timer = std::get_if<Effect::ArmProbeWaitTimer>(&effect))
        m_scheduled.emplace(timer->at, [this, instance, call = m_handles[timer->ticket]] {
          Handle(instance, Event::ProbeWaitExpired{m_now, call});
        });
    }
  }

  size_t IndexOf(size_t instance, EndpointHandle endpoint) const {
    return std::stoul(m_states[instance]->EndpointConfig(endpoint).name.substr(1));
  }

  void AnswerProbe(size_t instance, const Effect::SendProbe& probe) {
    const size_t index = IndexOf(instance, probe.endpoint);
    if (unanswered_odds > 0 && m_random() % unanswered_odds == 0)
      return;
    Event::ProbeEnded event;
    event.endpoint = probe.endpoint;
    event.answered = true;
    event.call = probe.call;
    event.load.present = true;
    event.load.in_flight = m_running[index];
    event.load.slots = 3;
    event.load.warmup_left = index < m_warm_count ? Millis(20'000) : Millis(0);
    m_scheduled.emplace(m_now + Millis(1), [this, instance, event]() mutable {
      event.now = m_now;
      Handle(instance, event);
    });
  }

  void RunRequest(size_t instance, const Effect::Dispatch& dispatch) {
    const size_t index = IndexOf(instance, dispatch.endpoint);
    ++m_dispatch_count;
    ++m_running[index];
    m_requests[index].push_back(m_now);
    m_scheduled.emplace(m_now + kAnswerTime, [this, instance, index, dispatch] {
      --m_running[index];
      Event::AttemptEnded event;
      event.now = m_now;
      event.call = dispatch.call;
      event.endpoint = dispatch.endpoint;
      event.load.present = true;
      event.load.in_flight = m_running[index];
      event.load.slots = 3;
      Handle(instance, event);
    });
  }

  TimePoint m_now{std::chrono::hours(1)};
  std::mt19937_64 m_random{1};
  size_t m_warm_count;
  size_t m_a_count;
  std::vector<std::unique_ptr<State>> m_states;
  std::multimap<TimePoint, std::function<void()>> m_scheduled;
  std::map<uint64_t, CallHandle> m_handles;
  std::array<std::vector<TimePoint>, kEndpoints> m_requests;
  std::array<uint32_t, kEndpoints> m_running{};
  uint64_t m_ticket = 0;
  size_t m_dispatch_count = 0;
};

/** Enough to exceed the bounds below at each endpoint in warm-up if nothing limited its load. */
constexpr size_t kCallsPerSecond = 12'000;

size_t BoundOf(double rate) {
  return static_cast<size_t>(rate * 1.5 + 8);
}

// Guards against endpoints that crash because every instance sends them a little while they warm up.
TEST_CASE("146 instances without contact beside a failure domain whose 143 endpoints are all in warm-up") {
  for (const double rate : {1.0, 4.0, 20.0}) {
    CAPTURE(rate);
    IsolatedInstances fleet(rate, 143);
    fleet.unanswered_odds = 10;
    fleet.Run(Millis(4'000), kCallsPerSecond);
    CHECK(fleet.MostInOneSecond(TimePoint()) <= BoundOf(rate));
    // The limit keeps few calls off: they find other endpoints, and those in warm-up do take part.
    CHECK(fleet.DispatchCount() > 4 * kCallsPerSecond * 95 / 100);
    CHECK(fleet.WarmRequests() > 143);
  }
}

// Guards against a limit that takes every endpoint for one of equally many instances: all instances of a small failure
// domain use the same few endpoints.
TEST_CASE("146 instances without contact beside a small failure domain whose 20 endpoints are all in warm-up") {
  for (const double rate : {1.0, 4.0, 20.0}) {
    CAPTURE(rate);
    IsolatedInstances fleet(rate, 20, 20);
    fleet.unanswered_odds = 10;
    fleet.Run(Millis(4'000), kCallsPerSecond);
    CHECK(fleet.MostInOneSecond(TimePoint()) <= BoundOf(rate));
    CHECK(fleet.WarmRequests() > 20);
  }
}

// Guards against instances that learn of a new warm-up only from the store: the endpoints would get their usual load
// until then.
TEST_CASE("143 endpoints that go back to warm-up while they run calls of 146 instances") {
  constexpr double kRate = 4.0;
  IsolatedInstances fleet(kRate, 0);
  fleet.Run(Millis(2'000), kCallsPerSecond);
  fleet.StartWarmup(143);
  const TimePoint started = fleet.Now();
  fleet.Run(Millis(4'000), kCallsPerSecond);
  // Requests that were chosen before the endpoint stated its warm-up arrive within the first moments.
  CHECK(fleet.MostInOneSecond(started + Millis(100)) <= BoundOf(kRate));
}

/** An instance with one endpoint in its failure domain, of a service that limits the load in warm-up. */
struct LimitedInstance : SingleInstance {
  explicit LimitedInstance(double rate, Millis listed_warmup = Millis(0)) {
    Lists lists = MakeLists("s");
    lists.services[0].warmup_rate = rate;
    ReceiveLists(1, std::move(lists));
    EndpointChange change = MakeChange("e", 2);
    change.warmup = listed_warmup;
    ReceiveEndpoints({change}, true, 10);
    // The instance is the only one that it knows, and takes itself for alone after a time.
    HandleEvent(Event::Tick{Now()});
    for (int second = 0; second < 4; ++second) {
      Advance(Millis(900));
      HandleEvent(Event::Tick{Now()});
    }
  }

  /** Sends a call whose probe gets the answer; returns whether the call is sent to the endpoint, and ends it. */
  bool IsSent(std::optional<Millis> warmup_left) {
    Effects effects = ReceiveCall();
    const auto accepted = EffectsOfType<Effect::Accepted>(effects);
    // The call probes again for a time, because an endpoint in warm-up is expected to be slow.
    while (EffectsOfType<Effect::Dispatch>(effects).empty()) {
      const auto probes = EffectsOfType<Effect::SendProbe>(effects);
      const auto timers = EffectsOfType<Effect::ArmProbeWaitTimer>(effects);
      if (!EffectsOfType<Effect::Reject>(effects).empty())
        return false;
      if (!probes.empty()) {
        effects = HandleEvent(AnswerTo(probes[0], warmup_left));
        continue;
      }
      REQUIRE(timers.size() == 1);
      Advance(timers[0].at - Now());
      effects = HandleEvent(Event::ProbeWaitExpired{Now(), accepted[0].call});
    }
    const auto dispatches = EffectsOfType<Effect::Dispatch>(effects);
    Event::AttemptEnded ended;
    ended.now = Now();
    ended.call = dispatches[0].call;
    ended.endpoint = dispatches[0].endpoint;
    HandleEvent(ended);
    return true;
  }

  Event::ProbeEnded AnswerTo(const Effect::SendProbe& probe, std::optional<Millis> warmup_left) const {
    Event::ProbeEnded answer;
    answer.now = Now();
    answer.endpoint = probe.endpoint;
    answer.answered = true;
    answer.call = probe.call;
    answer.load.present = true;
    answer.load.slots = 6;
    answer.load.warmup_left = warmup_left;
    return answer;
  }

  void AdvanceWithTicks(Millis time) {
    for (Millis elapsed{0}; elapsed < time; elapsed += Millis(250)) {
      Advance(Millis(250));
      HandleEvent(Event::Tick{Now()});
    }
  }
};

// Guards against a limit that the instances of a fleet in touch do not keep together, as counted at the endpoint.
TEST_CASE("all endpoints of a service go back to warm-up in a fleet under load") {
  PlatformFleetSimulation simulation(14);
  // The endpoints of service "s".
  for (const size_t address : {0u, 2u, 4u})
    simulation.StartWarmup(address);
  for (int step = 0; step < 120; ++step) {
    for (size_t i = 0; i < PlatformFleetSimulation::kInstances; ++i)
      simulation.SendCall(i, true);
    simulation.Advance(Millis(50));
  }
  CHECK(simulation.AnsweredCount() > 0);
  simulation.RecoverAndCheck();
  CHECK(simulation.FirstViolation() == std::string());
}

// Guards against one instance that uses its endpoint in warm-up without a pause, first attempts and others alike.
TEST_CASE("an instance uses an endpoint in warm-up at most once in the time of four requests") {
  LimitedInstance instance(8.0);
  CHECK(instance.IsSent(Millis(30'000)));
  CHECK_FALSE(instance.IsSent(Millis(30'000)));
  CHECK(instance.GetState().WarmupRefusals() > 0);
  instance.AdvanceWithTicks(Millis(500));
  CHECK(instance.IsSent(Millis(30'000)));
  CHECK_FALSE(instance.IsSent(Millis(30'000)));
  // The endpoint leaves its warm-up when it said it would.
  instance.AdvanceWithTicks(Millis(30'000));
  for (int i = 0; i < 10; ++i)
    CHECK(instance.IsSent(Millis(0)));
}

// Guards against a limit in deployments that do not ask for one.
TEST_CASE("a service without a warm-up rate is served in warm-up as at any time") {
  LimitedInstance instance(0.0, Millis(60'000));
  for (int i = 0; i < 10; ++i)
    CHECK(instance.IsSent(Millis(30'000)));
  CHECK(instance.GetState().WarmupRefusals() == 0);
}

// Guards against a warm-up that never ends for endpoints that state it only while it lasts, and against one taken for
// ended at endpoints that never state it.
TEST_CASE("an answer without a warm-up ends that of endpoints that state it, and no other") {
  LimitedInstance silent(8.0, Millis(60'000));
  CHECK(silent.IsSent(std::nullopt));
  CHECK_FALSE(silent.IsSent(std::nullopt));
  LimitedInstance stating(8.0, Millis(60'000));
  CHECK(stating.IsSent(Millis(60'000)));
  stating.AdvanceWithTicks(Millis(500));
  CHECK(stating.IsSent(std::nullopt));
  CHECK(stating.IsSent(std::nullopt));
}

// Guards against older news that undoes what the endpoint itself said, or keeps a new process unlimited.
TEST_CASE("the endpoint's own word, the store's entry and a new incarnation") {
  LimitedInstance instance(8.0, Millis(60'000));
  EndpointChange entry = SingleInstance::MakeChange("e", 2);
  CHECK(instance.IsSent(Millis(60'000)));
  // An entry that says the opposite may have been written before the endpoint went back to warm-up.
  entry.revision = 11;
  entry.warmup = Millis(0);
  instance.ReceiveEndpoints({entry}, false, 11);
  CHECK_FALSE(instance.IsSent(Millis(60'000)));
  instance.AdvanceWithTicks(Millis(500));
  CHECK(instance.IsSent(Millis(0)));
  CHECK(instance.IsSent(Millis(0)));
  // A later entry may tell of a new warm-up.
  instance.Advance(Millis(10));
  entry.revision = 12;
  entry.warmup = Millis(30'000);
  instance.ReceiveEndpoints({entry}, false, 12);
  instance.AdvanceWithTicks(Millis(500));
  CHECK(instance.IsSent(Millis(30'000)));
  CHECK_FALSE(instance.IsSent(Millis(30'000)));
  // A new process: the word of the earlier one, that it is in warm-up for long, does not count any more.
  entry.revision = 13;
  entry.incarnation = 2;
  entry.warmup = Millis(0);
  instance.ReceiveEndpoints({entry}, false, 13);
  CHECK(instance.IsSent(std::nullopt));
  CHECK(instance.IsSent(std::nullopt));
  // And one whose entry says that it warms up, although the earlier one had said that it does not.
  CHECK(instance.IsSent(Millis(0)));
  entry.revision = 14;
  entry.incarnation = 3;
  entry.warmup = Millis(60'000);
  instance.ReceiveEndpoints({entry}, false, 14);
  instance.AdvanceWithTicks(Millis(500));
  CHECK(instance.IsSent(std::nullopt));
  CHECK_FALSE(instance.IsSent(std::nullopt));
}

// Guards against a renewed entry that no instance but the reader learns of, and against one datagram to all for each of
// the many renewals of an endpoint in warm-up.
TEST_CASE("an entry that tells of a new warm-up is a change, a renewed one is none") {
  EndpointFeed feed;
  const TimePoint now{std::chrono::hours(1)};
  EndpointChange entry = SingleInstance::MakeChange("e", 2);
  CHECK(feed.Apply(entry, EndpointFeed::Source::kWrite, Millis(0), now));
  entry.revision = 3;
  CHECK_FALSE(feed.Apply(entry, EndpointFeed::Source::kWrite, Millis(0), now));
  entry.revision = 4;
  entry.warmup = Millis(10'000);
  CHECK(feed.Apply(entry, EndpointFeed::Source::kWrite, Millis(0), now));
  entry.revision = 5;
  entry.warmup = Millis(9'000);
  CHECK_FALSE(feed.Apply(entry, EndpointFeed::Source::kWrite, Millis(0), now + Millis(1'000)));
  entry.revision = 6;
  entry.warmup = Millis(0);
  CHECK(feed.Apply(entry, EndpointFeed::Source::kWrite, Millis(0), now + Millis(2'000)));
  // Not even if an endpoint writes the same time each time: its warm-up would never end.
  entry.revision = 7;
  entry.warmup = Millis(10'000);
  CHECK(feed.Apply(entry, EndpointFeed::Source::kWrite, Millis(0), now + Millis(3'000)));
  const TimePoint end = feed.All().at("e").warmup_until;
  for (int second = 4; second < 20; ++second) {
    ++entry.revision;
    CHECK_FALSE(feed.Apply(entry, EndpointFeed::Source::kWrite, Millis(0), now + std::chrono::seconds(second)));
  }
  CHECK(feed.All().at("e").warmup_until == end);
}

// Guards against a blind choice that burdens an endpoint in warm-up while others are idle.
TEST_CASE("a choice without any probe answer prefers endpoints that are not in warm-up") {
  SingleInstance instance;
  Lists lists = SingleInstance::MakeLists("s");
  lists.services[0].warmup_rate = 1'000.0;
  instance.ReceiveLists(1, std::move(lists));
  std::vector<EndpointChange> changes;
  for (uint64_t i = 0; i < 8; ++i) {
    changes.push_back(SingleInstance::MakeChange("e" + std::to_string(i), 2 + i));
    changes.back().warmup = i < 4 ? Millis(60'000) : Millis(0);
  }
  instance.ReceiveEndpoints(changes, true, 20);
  instance.HandleEvent(Event::Tick{instance.Now()});
  for (int second = 0; second < 4; ++second) {
    instance.Advance(Millis(900));
    instance.HandleEvent(Event::Tick{instance.Now()});
  }
  for (int i = 0; i < 20; ++i) {
    const Effects arrived = instance.ReceiveCall();
    const auto timers = SingleInstance::EffectsOfType<Effect::ArmProbeWaitTimer>(arrived);
    const auto accepted = SingleInstance::EffectsOfType<Effect::Accepted>(arrived);
    const auto probes = SingleInstance::EffectsOfType<Effect::SendProbe>(arrived);
    REQUIRE(timers.size() == 1);
    const size_t idle_unprobed =
        4 - static_cast<size_t>(std::count_if(probes.begin(), probes.end(), [&](const auto& probe) {
          return instance.EndpointName(probe.endpoint) >= "e4";
        }));
    instance.Advance(timers[0].at - instance.Now());
    const Effects decided = instance.HandleEvent(Event::ProbeWaitExpired{instance.Now(), accepted[0].call});
    const auto dispatches = SingleInstance::EffectsOfType<Effect::Dispatch>(decided);
    REQUIRE(dispatches.size() == 1);
    REQUIRE(idle_unprobed > 0);
    CHECK(instance.EndpointName(dispatches[0].endpoint) >= "e4");
    Event::AttemptEnded ended;
    ended.now = instance.Now();
    ended.call = dispatches[0].call;
    ended.endpoint = dispatches[0].endpoint;
    instance.HandleEvent(ended);
  }
}

}  // namespace
}  // namespace sassafras
