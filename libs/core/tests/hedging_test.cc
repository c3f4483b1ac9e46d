#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/hedge_counters.h"
#include "single_instance.h"
#include "state_parts.h"

namespace sassafras {
namespace {

using Millis = SingleInstance::Millis;
using Dispatch = Effect::Dispatch;
using SendProbe = Effect::SendProbe;

/** What a call was told to do so far. */
struct RunningCall {
  CallHandle call;
  EndpointHandle endpoint;
  TimePoint hedge_at;
};

/** What became of a call that was run to its end. */
struct EndedCall {
  bool hedged = false;
  Duration took{};
};

/** One instance, and endpoints that take as long as the test says. */
class HedgingFixture {
 public:
  using Latency = std::function<Duration(const std::string& endpoint)>;

  explicit HedgingFixture(StateOptions options = {}, Repeat repeat = Repeat::kSafe)
      : m_instance(std::move(options)), m_lists(SingleInstance::MakeLists("s", repeat)) {}

  SingleInstance& Instance() { return m_instance; }
  StateParts& Parts() { return m_instance.GetState().MutableParts(); }
  Lists& Configuration() { return m_lists; }
  const HedgeCounters& Counters() { return m_instance.GetState().Hedges(PlanHandle(0)); }

  /** Puts `near` endpoints of the instance's own failure domain and `far` ones of another into use. */
  void Serve(int near, int far = 0) {
    m_instance.ReceiveLists(1, m_lists);
    std::vector<EndpointChange> changes;
    changes.reserve(static_cast<size_t>(near + far));
    for (int i = 0; i < near; ++i)
      changes.push_back(SingleInstance::MakeChange("near" + std::to_string(i), 1'000 + static_cast<uint64_t>(i)));
    for (int i = 0; i < far; ++i)
      changes.push_back(SingleInstance::MakeChange("far" + std::to_string(i), 2'000 + static_cast<uint64_t>(i), "b"));
    m_instance.ReceiveEndpoints(changes, true, 5'000);
  }

  /** Starts a call at an endpoint. */
  RunningCall Start(std::optional<uint64_t> fingerprint = std::nullopt, Duration limit = Millis(2'000)) {
    // Without ticks, the instance would take the time that passed for a pause of its process.
    m_instance.HandleEvent(Event::Tick{m_instance.Now()});
    const auto dispatches = m_instance.AnswerProbes(m_instance.ReceiveCall(limit, fingerprint));
    REQUIRE(dispatches.size() == 1);
    return {dispatches[0].call, dispatches[0].endpoint, dispatches[0].hedge_at};
  }

  Effects HedgeDue(const RunningCall& running) {
    return m_instance.HandleEvent(Event::HedgeDue{m_instance.Now(), running.call});
  }

  /** Ends an attempt; returns what the instance then does. */
  Effects End(CallHandle call, EndpointHandle endpoint, AttemptResult result) {
    Event::AttemptEnded ended;
    ended.now = m_instance.Now();
    ended.call = call;
    ended.endpoint = endpoint;
    ended.result = result;
    const Effects& effects = m_instance.HandleEvent(ended);
    for (const auto& record : SingleInstance::EffectsOfType<Effect::WriteLogRecord>(effects))
      m_refusal_records += record.record.kind == LogRecord::Kind::kHedgesRefused ? 1 : 0;
    return effects;
  }

  /** Runs a call to its end: the endpoint that answers first wins, the other attempt is cancelled. */
  EndedCall Run(const Latency& latency) {
    const TimePoint start = m_instance.Now();
    const RunningCall running = Start();
    const TimePoint first_end = start + latency(m_instance.EndpointName(running.endpoint));
    if (running.hedge_at >= first_end) {
      m_instance.Advance(first_end - start);
      End(running.call, running.endpoint, AttemptResult::kAnswered);
      return {false, first_end - start};
    }
    m_instance.Advance(running.hedge_at - start);
    const Effects effects = HedgeDue(running);
    for (const auto& record : SingleInstance::EffectsOfType<Effect::WriteLogRecord>(effects))
      m_refusal_records += record.record.kind == LogRecord::Kind::kHedgesRefused ? 1 : 0;
    const auto hedges = m_instance.AnswerProbes(effects);
    if (hedges.empty()) {
      m_instance.Advance(first_end - m_instance.Now());
      End(running.call, running.endpoint, AttemptResult::kAnswered);
      return {false, first_end - start};
    }
    REQUIRE(hedges[0].endpoint != running.endpoint);
    const TimePoint hedge_end = m_instance.Now() + latency(m_instance.EndpointName(hedges[0].endpoint));
    const bool hedge_wins = hedge_end < first_end;
    m_instance.Advance(std::min(hedge_end, first_end) - m_instance.Now());
    const EndpointHandle winner = hedge_wins ? hedges[0].endpoint : running.endpoint;
    const EndpointHandle loser = hedge_wins ? running.endpoint : hedges[0].endpoint;
    End(running.call, winner, AttemptResult::kAnswered);
    End(running.call, loser, AttemptResult::kCancelled);
    return {true, std::min(hedge_end, first_end) - start};
  }

  /** Returns 20 to 40 ms. */
  Duration UsualLatency() { return Millis(20 + m_random() % 21); }

  void RunUsual(int calls) {
    for (int i = 0; i < calls; ++i)
      Run([this](const std::string&) { return UsualLatency(); });
  }

  /** Runs calls of which every fifth takes 300 ms at its first endpoint. */
  void RunWithLateOnes(int calls) {
    for (int i = 0; i < calls; ++i) {
      bool first = true;
      Run([&](const std::string&) {
        return std::exchange(first, false) && i % 5 == 0 ? Duration(Millis(300)) : UsualLatency();
      });
    }
  }

  int RefusalRecords() const { return m_refusal_records; }

 private:
  SingleInstance m_instance;
  Lists m_lists;
  std::mt19937 m_random{1};
  int m_refusal_records = 0;
};

/** Options with which only the hedge limit binds, and one hedge may be saved up. */
StateOptions TightOptions() {
  StateOptions options;
  options.retry_ratio = 2;
  options.retry_slack = 48;
  return options;
}

/** Calls under one load, and what hedging cost. */
struct LoadResult {
  std::vector<Duration> took;
  HedgeCounters hedges;

  Millis Quantile(double share) {
    std::sort(took.begin(), took.end());
    return std::chrono::duration_cast<Millis>(took[static_cast<size_t>(share * static_cast<double>(took.size() - 1))]);
  }
  double ExtraPercent() const { return 100.0 * static_cast<double>(hedges.sent) / static_cast<double>(took.size()); }
};

constexpr int kCalls = 2'000;

StateOptions OptionsWithLimit(double limit) {
  StateOptions options;
  options.hedge_limit = limit;
  return options;
}

LoadResult RunWithOneSlowEndpoint(double limit) {
  HedgingFixture fixture(OptionsWithLimit(limit));
  fixture.Serve(200);
  fixture.RunUsual(100);
  const RunningCall first = fixture.Start();
  const std::string slow = fixture.Instance().EndpointName(first.endpoint);
  fixture.End(first.call, first.endpoint, AttemptResult::kAnswered);
  LoadResult result;
  for (int i = 0; i < kCalls; ++i) {
    const EndedCall ended = fixture.Run(
        [&](const std::string& endpoint) { return endpoint == slow ? Duration(Millis(300)) : fixture.UsualLatency(); });
    result.took.push_back(ended.took);
  }
  result.hedges = fixture.Counters();
  return result;
}

LoadResult RunWithNoisyMachines(double limit) {
  HedgingFixture fixture(OptionsWithLimit(limit));
  fixture.Serve(24);
  fixture.RunUsual(100);
  LoadResult result;
  for (int i = 0; i < kCalls; ++i) {
    const auto window = (fixture.Instance().Now().time_since_epoch() / Millis(150)) * 7 % 24;
    const std::string slow = "near" + std::to_string(window);
    const EndedCall ended = fixture.Run([&](const std::string& endpoint) {
      const Duration usual = fixture.UsualLatency();
      return endpoint == slow ? usual * 10 : usual;
    });
    result.took.push_back(ended.took);
  }
  result.hedges = fixture.Counters();
  return result;
}

void Report(const std::string& load, double limit, LoadResult& result) {
  MESSAGE(load << ", limit " << limit << ": p99 " << result.Quantile(0.99).count() << " ms, p99.9 "
               << result.Quantile(0.999).count() << " ms, extra work " << result.ExtraPercent() << " %");
}

// Load: one endpoint of 200 takes 300 ms for each request, the others 20 to 40 ms. Guards against tails that one slow
// endpoint causes, and against hedges for calls that are not late.
TEST_CASE("calls at the one slow endpoint of 200 are answered by another one") {
  LoadResult without = RunWithOneSlowEndpoint(0);
  LoadResult with = RunWithOneSlowEndpoint(0.1);
  Report("one slow endpoint", 0, without);
  Report("one slow endpoint", 0.1, with);
  CHECK(without.Quantile(1) >= Millis(300));
  CHECK(with.Quantile(1) < Millis(150));
  CHECK(with.hedges.sent > 0);
  CHECK(with.ExtraPercent() <= 10);
  CHECK(with.hedges.won == with.hedges.sent);
}

// Load: at any moment one of 24 endpoints is ten times slower, another one every 150 ms. Guards against hedging that
// needs to have learned which endpoint is slow.
TEST_CASE("calls at an endpoint that is slow for 150 ms are answered by another one") {
  LoadResult without = RunWithNoisyMachines(0);
  LoadResult with = RunWithNoisyMachines(0.1);
  LoadResult with_little = RunWithNoisyMachines(0.01);
  Report("noisy machines", 0, without);
  Report("noisy machines", 0.01, with_little);
  Report("noisy machines", 0.1, with);
  CHECK(without.Quantile(0.99) >= Millis(200));
  CHECK(with.Quantile(0.99) < Millis(120));
  CHECK(with.ExtraPercent() <= 10);
  CHECK(with_little.ExtraPercent() <= 1.1);
}

// Load: all endpoints become five times slower at once. Guards against hedges that add to an overload.
TEST_CASE("hedging stops while a service is slow as a whole, and comes back") {
  HedgingFixture fixture;
  fixture.Serve(24);
  fixture.RunUsual(200);
  const uint64_t sent_before = fixture.Counters().sent;
  const auto slow = [&](const std::string&) { return fixture.UsualLatency() * 5; };
  for (int i = 0; i < 20; ++i)
    fixture.Run(slow);
  const uint64_t sent_at_start = fixture.Counters().sent;
  CHECK(sent_at_start <= sent_before + 10);
  for (int i = 0; i < 200; ++i)
    fixture.Run(slow);
  CHECK(fixture.Counters().sent == sent_at_start);
  CHECK(fixture.Counters().held_back > 0);
  fixture.RunUsual(100);
  fixture.RunWithLateOnes(20);
  CHECK(fixture.Counters().sent > sent_at_start);
}

// Load: attempts hang at every endpoint, so no answer tells that the service is slow. Guards against a hedge for each
// call that hangs.
TEST_CASE("hedging stops when nothing is answered any more") {
  StateOptions options;
  options.retry_ratio = 10;
  options.retry_slack = 10'000;
  options.hedge_limit = 1;
  HedgingFixture fixture(options);
  fixture.Serve(200);
  fixture.RunUsual(100);
  const uint64_t sent_before = fixture.Counters().sent;
  for (int i = 0; i < 30; ++i) {
    const RunningCall running = fixture.Start();
    fixture.Instance().Advance(running.hedge_at - fixture.Instance().Now());
    fixture.Instance().AnswerProbes(fixture.HedgeDue(running));
  }
  CHECK(fixture.Counters().sent <= sent_before + 9);
  CHECK(fixture.Counters().held_back >= 20);
}

// Load: most probed endpoints have no free slot. Guards against hedges that take the last slots from first attempts.
TEST_CASE("no hedge is sent while free slots are scarce, although an endpoint has room") {
  HedgingFixture fixture;
  fixture.Serve(24);
  fixture.RunUsual(100);
  const RunningCall running = fixture.Start();
  fixture.Instance().Advance(running.hedge_at - fixture.Instance().Now());
  for (int i = 0; i < 10; ++i)
    fixture.Instance().AnswerProbes(fixture.Instance().ReceiveCall(), 6);
  CHECK(fixture.Instance().AnswerProbes(fixture.HedgeDue(running)).empty());
  CHECK(fixture.Counters().held_back == 1);
}

// Load: endpoints with 4 of 6 slots in use. Guards against hedges that bring an endpoint near the knee.
TEST_CASE("no hedge goes to an endpoint that it would bring near the knee") {
  HedgingFixture fixture;
  fixture.Serve(24);
  fixture.RunUsual(100);
  const RunningCall busy = fixture.Start();
  fixture.Instance().Advance(busy.hedge_at - fixture.Instance().Now());
  CHECK(fixture.Instance().AnswerProbes(fixture.HedgeDue(busy), 4).empty());
  CHECK(fixture.Counters().held_back == 1);
  fixture.End(busy.call, busy.endpoint, AttemptResult::kAnswered);
  const RunningCall idle = fixture.Start();
  fixture.Instance().Advance(idle.hedge_at - fixture.Instance().Now());
  CHECK(fixture.Instance().AnswerProbes(fixture.HedgeDue(idle), 1).size() == 1);
}

// Guards against a limit of 0 that still allows the hedges of the slack.
TEST_CASE("with the limit 0 no hedge is ever due") {
  for (const bool by_switch : {false, true}) {
    StateOptions options;
    options.hedging = !by_switch;
    options.hedge_limit = by_switch ? 0.1 : 0;
    HedgingFixture fixture(options);
    fixture.Serve(24);
    for (int i = 0; i < 100; ++i) {
      const RunningCall running = fixture.Start();
      CHECK(running.hedge_at == TimePoint::max());
      fixture.Instance().Advance(fixture.UsualLatency());
      fixture.End(running.call, running.endpoint, AttemptResult::kAnswered);
    }
    CHECK(fixture.Counters().sent == 0);
  }
}

// Guards against a limit that takes effect only after a restart, and against a change that grants the slack anew.
TEST_CASE("the limit of the settings can be changed at run time") {
  HedgingFixture fixture(TightOptions());
  fixture.Serve(24);
  fixture.RunUsual(100);
  const auto set_limit = [&](double limit) {
    const StateOptions& options = fixture.Parts().options;
    fixture.Instance().HandleEvent(Event::SettingsChanged{fixture.Instance().Now(), options.retry_ratio,
                                                          options.retry_slack, options.address_ttl,
                                                          options.linger_limit, limit});
  };
  set_limit(0);
  CHECK(fixture.Start().hedge_at == TimePoint::max());
  const uint64_t sent_before = fixture.Counters().sent;
  for (int i = 0; i < 20; ++i) {
    set_limit(0);
    set_limit(0.01);
    fixture.RunWithLateOnes(1);
  }
  CHECK(fixture.Counters().sent - sent_before <= 1);
  CHECK(fixture.Counters().refused > 0);
}

// Load: every fifth call is late, more than the limit pays for. Guards against hedges beyond the limit, and against a
// log line for each refusal.
TEST_CASE("when the limit is used up, hedges are refused, counted, and logged once a minute") {
  HedgingFixture fixture(TightOptions());
  fixture.Serve(24);
  fixture.RunUsual(100);
  const uint64_t sent_before = fixture.Counters().sent;
  fixture.RunWithLateOnes(30);
  CHECK(fixture.Counters().sent - sent_before <= 1 + 30 / 10);
  CHECK(fixture.Counters().refused > 0);
  CHECK(fixture.RefusalRecords() == 1);
}

// Load: retries have used up the shared budget. Guards against hedges on top of what the fleet may send in all.
TEST_CASE("hedges stay within the budget that they share with retries") {
  StateOptions options;
  options.hedge_limit = 1;
  options.retry_ratio = 0.02;
  options.retry_slack = 48;
  HedgingFixture fixture(options);
  fixture.Serve(24);
  fixture.RunUsual(100);
  const uint64_t sent_before = fixture.Counters().sent;
  fixture.RunWithLateOnes(30);
  CHECK(fixture.Counters().sent - sent_before <= 1);
  CHECK(fixture.Counters().refused > 0);
}

// Guards against a plan whose own limit is ignored, in either direction.
TEST_CASE("a plan's limit goes before its service's, and the service's before the setting") {
  struct Row {
    std::optional<double> plan;
    std::optional<double> service;
    double setting;
    bool hedges;
  };
  const Row rows[] = {
      {0.2, 0.0, 0.0, true},
      {0.0, 0.2, 0.2, false},
      {std::nullopt, 0.2, 0.0, true},
      {std::nullopt, 0.0, 0.2, false},
      {std::nullopt, std::nullopt, 0.2, true},
      {std::nullopt, std::nullopt, 0.0, false},
  };
  for (const Row& row : rows) {
    StateOptions options;
    options.hedge_limit = row.setting;
    HedgingFixture fixture(options);
    fixture.Configuration().plans[0].hedge_limit = row.plan;
    fixture.Configuration().services[0].hedge_limit = row.service;
    fixture.Serve(24);
    fixture.RunUsual(100);
    fixture.RunWithLateOnes(30);
    CHECK((fixture.Counters().sent > 0) == row.hedges);
  }
}

// Load: two plans of a service, one of which sets a low limit of its own. Guards against a plan that spends what the
// other plans of its service have earned.
TEST_CASE("a plan with its own limit spends only what its own calls have earned") {
  HedgingFixture fixture(TightOptions());
  fixture.Configuration().plans[0].hedge_limit = 0.01;
  fixture.Configuration().services[0].hedge_limit = 1.0;
  fixture.Serve(24);
  fixture.RunUsual(50);
  fixture.RunWithLateOnes(50);
  CHECK(fixture.Counters().sent <= 2);
  CHECK(fixture.Counters().refused > 0);
}

// Load: an instance of a fleet of 100 hears nothing from the others for ten minutes. Guards against an instance out of
// touch that takes the fleet's slack for itself.
TEST_CASE("an instance that is cut off from its peers stays within what its own calls have earned") {
  HedgingFixture fixture(TightOptions());
  fixture.Serve(24);
  std::vector<Member> members;
  for (int i = 1; i < 100; ++i) {
    Member& member = members.emplace_back();
    member.name = "i" + std::to_string(i);
    member.failure_domain = "a";
    member.address = member.peer_address = "127.0.0.1:" + std::to_string(20'000 + i);
    member.incarnation = 1;
  }
  fixture.Instance().HandleEvent(Event::DirectoryReceived{fixture.Instance().Now(), true, members, {}});
  fixture.Instance().HandleEvent(Event::Tick{fixture.Instance().Now()});
  fixture.Instance().Advance(Millis(500));
  fixture.Instance().HandleEvent(Event::Tick{fixture.Instance().Now()});
  fixture.Instance().Advance(Millis(500));
  fixture.Instance().HandleEvent(Event::Tick{fixture.Instance().Now()});
  REQUIRE(fixture.Parts().FleetDivisor() == 100);
  for (int i = 0; i < 1'200; ++i) {
    fixture.Instance().Advance(Millis(500));
    fixture.Instance().HandleEvent(Event::Tick{fixture.Instance().Now()});
  }
  CHECK(fixture.Parts().members.CountServing(fixture.Instance().Now()) < 100);
  fixture.RunUsual(50);
  fixture.RunWithLateOnes(100);
  CHECK(fixture.Counters().sent <= 150 / 10 + 1);
  CHECK(fixture.Counters().refused > 0);
}

// Load: 40 instances, each with its own few calls of which every fifth is late. Guards against a share of each instance
// that adds up to more than the limit of the fleet.
TEST_CASE("the hedges of many small instances together stay within the limit") {
  constexpr int kInstances = 40;
  constexpr int kCallsEach = 60;
  uint64_t sent = 0;
  uint64_t refused = 0;
  for (int i = 0; i < kInstances; ++i) {
    StateOptions options = TightOptions();
    options.fleet_limit = kInstances;
    options.hedge_limit = 0.03;
    HedgingFixture fixture(options);
    fixture.Serve(24);
    fixture.RunUsual(20);
    fixture.RunWithLateOnes(kCallsEach - 20);
    sent += fixture.Counters().sent;
    refused += fixture.Counters().refused;
  }
  CHECK(sent <= 0.03 * kInstances * kCallsEach + 20);
  CHECK(sent >= kInstances);
  CHECK(refused > 0);
}

// Guards against a second run of a request that may run only once.
TEST_CASE("a call that may run only once is never hedged") {
  HedgingFixture fixture({}, Repeat::kNever);
  fixture.Serve(24);
  for (int i = 0; i < 100; ++i) {
    const RunningCall running = fixture.Start();
    CHECK(running.hedge_at == TimePoint::max());
    fixture.Instance().Advance(Millis(i % 5 == 0 ? 300 : 30));
    CHECK(fixture.Instance().AnswerProbes(fixture.HedgeDue(running)).empty());
    fixture.End(running.call, running.endpoint, AttemptResult::kAnswered);
  }
  CHECK(fixture.Counters().sent == 0);
}

// Load: the same request again and again, which crashes endpoints. Guards against a hedge that takes down one more.
TEST_CASE("a call that is suspected of crashing endpoints is not hedged, also if it was sent before the suspicion") {
  HedgingFixture fixture;
  fixture.Serve(24);
  fixture.RunUsual(100);
  constexpr uint64_t kFingerprint = 1'000'000;
  const RunningCall earlier = fixture.Start(kFingerprint);
  REQUIRE(earlier.hedge_at != TimePoint::max());
  const RunningCall crashing = fixture.Start(kFingerprint);
  fixture.End(crashing.call, crashing.endpoint, AttemptResult::kBroken);
  fixture.Instance().Advance(earlier.hedge_at - fixture.Instance().Now());
  CHECK(fixture.Instance().AnswerProbes(fixture.HedgeDue(earlier)).empty());
  CHECK(fixture.Start(kFingerprint).hedge_at == TimePoint::max());
}

// Load: a failure domain stalls, so that its endpoints answer nothing. Guards against hedges into the same stall.
TEST_CASE("while two endpoints of a failure domain are overdue, hedges go to another domain") {
  HedgingFixture fixture;
  fixture.Serve(12, 12);
  fixture.RunUsual(100);
  std::vector<RunningCall> calls;
  for (int i = 0; i < 20 && calls.size() < 3; ++i) {
    const RunningCall running = fixture.Start();
    const bool other = std::none_of(calls.begin(), calls.end(),
                                    [&](const RunningCall& call) { return call.endpoint == running.endpoint; });
    const bool near = fixture.Instance().EndpointName(running.endpoint).starts_with("near");
    if (other && near)
      calls.push_back(running);
  }
  REQUIRE(calls.size() == 3);
  fixture.Instance().Advance(calls.back().hedge_at - fixture.Instance().Now());
  const auto first = fixture.Instance().AnswerProbes(fixture.HedgeDue(calls[0]));
  REQUIRE(first.size() == 1);
  CHECK(fixture.Instance().EndpointName(first[0].endpoint).starts_with("near"));
  for (size_t i = 1; i < calls.size(); ++i) {
    const Effects effects = fixture.HedgeDue(calls[i]);
    for (const SendProbe& probe : SingleInstance::EffectsOfType<SendProbe>(effects))
      CHECK(fixture.Instance().EndpointName(probe.endpoint).starts_with("far"));
    const auto hedges = fixture.Instance().AnswerProbes(effects);
    REQUIRE(hedges.size() == 1);
    CHECK(fixture.Instance().EndpointName(hedges[0].endpoint).starts_with("far"));
  }
}

// Guards against extra work that cannot help its caller.
TEST_CASE("a hedge that cannot be answered before the caller's deadline is not due") {
  HedgingFixture fixture;
  fixture.Serve(24);
  fixture.RunUsual(100);
  const RunningCall ample = fixture.Start(std::nullopt, Millis(500));
  REQUIRE(ample.hedge_at != TimePoint::max());
  CHECK(ample.hedge_at - fixture.Instance().Now() < Millis(60));
  CHECK(fixture.Start(std::nullopt, Millis(50)).hedge_at == TimePoint::max());
}

// Load: latencies that hardly differ. Guards against hedges of calls that are about to be answered.
TEST_CASE("a hedge is due no earlier than a quarter after the upper quartile") {
  HedgingFixture fixture;
  fixture.Serve(24);
  for (int i = 0; i < 100; ++i)
    fixture.Run([](const std::string&) { return Millis(30); });
  const RunningCall running = fixture.Start();
  CHECK(running.hedge_at - fixture.Instance().Now() >= Millis(37));
}

// Load: a tenth of all calls is late and hedged. Guards against a delay that shrinks because cancelled first attempts
// are left out of the distribution.
TEST_CASE("hedges that win do not shorten the delay") {
  HedgingFixture fixture;
  fixture.Serve(24);
  fixture.RunUsual(200);
  const RunningCall before = fixture.Start();
  const Duration delay_before = before.hedge_at - fixture.Instance().Now();
  fixture.End(before.call, before.endpoint, AttemptResult::kAnswered);
  for (int i = 0; i < 1'000; ++i) {
    bool first = true;
    fixture.Run([&](const std::string&) {
      return std::exchange(first, false) && i % 10 == 0 ? Duration(Millis(300)) : fixture.UsualLatency();
    });
  }
  const RunningCall after = fixture.Start();
  CHECK(after.hedge_at - fixture.Instance().Now() >= delay_before * 9 / 10);
}

// Guards against a hedge whose answer is written behind the part of an answer that broke off (MIXED).
TEST_CASE("no hedge is sent once an answer has begun to reach the caller, and a break then ends the call") {
  HedgingFixture fixture;
  fixture.Serve(6);
  fixture.RunUsual(100);
  const RunningCall running = fixture.Start();
  fixture.Instance().Advance(running.hedge_at - fixture.Instance().Now());
  const Effects probes = fixture.HedgeDue(running);
  REQUIRE_FALSE(SingleInstance::EffectsOfType<SendProbe>(probes).empty());
  fixture.Instance().HandleEvent(Event::AnswerStarted{fixture.Instance().Now(), running.call});
  CHECK(fixture.Instance().AnswerProbes(probes).empty());
  const Effects end = fixture.End(running.call, running.endpoint, AttemptResult::kBroken);
  CHECK(SingleInstance::EffectsOfType<SendProbe>(end).empty());
  CHECK(SingleInstance::EffectsOfType<Dispatch>(end).empty());
  CHECK(SingleInstance::EffectsOfType<Effect::Reject>(end).size() == 1);
}

// Guards against a call whose answer broke off and that waits for an attempt that was cancelled, or is answered by it.
TEST_CASE("a break in an answer ends the call although the cancelled attempt has not ended yet") {
  for (const AttemptResult result : {AttemptResult::kBrokenInAnswer, AttemptResult::kTimedOut}) {
    HedgingFixture fixture;
    fixture.Serve(6);
    fixture.RunUsual(100);
    const RunningCall running = fixture.Start();
    fixture.Instance().Advance(running.hedge_at - fixture.Instance().Now());
    REQUIRE(fixture.Instance().AnswerProbes(fixture.HedgeDue(running)).size() == 1);
    fixture.Instance().HandleEvent(Event::AnswerStarted{fixture.Instance().Now(), running.call});
    const Effects end = fixture.End(running.call, running.endpoint, result);
    CHECK(SingleInstance::EffectsOfType<Effect::Reject>(end).size() == 1);
  }
}

}  // namespace
}  // namespace sassafras
