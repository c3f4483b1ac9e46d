#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "single_instance.h"
#include "state_parts.h"

namespace sassafras {
namespace {

using Millis = SingleInstance::Millis;
using Dispatch = Effect::Dispatch;

/**
 * One instance whose plan "p" is replaced by another one of the same name while its calls run, as when an operator
 * splits a route and one part keeps the name.
 */
class ChangedPlanFixture {
 public:
  explicit ChangedPlanFixture(const StateOptions& options = {}) : m_instance(options) {
    std::vector<EndpointChange> endpoints;
    for (int i = 0; i < 4; ++i)
      endpoints.push_back(SingleInstance::MakeChange("e" + std::to_string(i), 1'000 + static_cast<uint64_t>(i)));
    m_instance.ReceiveEndpoints(endpoints, true, 5'000);
  }

  SingleInstance& Instance() { return m_instance; }
  StateParts& Parts() { return m_instance.GetState().MutableParts(); }

  /** Puts the next version of the lists into force. */
  void UsePlan(Repeat repeat, uint32_t max_attempts = 4) {
    Lists lists = SingleInstance::MakeLists("s", repeat);
    lists.plans[0].max_attempts = max_attempts;
    m_instance.ReceiveLists(++m_generation, std::move(lists));
  }

  /** Starts a call and returns its first attempt. */
  Dispatch Start() {
    m_instance.HandleEvent(Event::Tick{m_instance.Now()});
    const std::vector<Dispatch> dispatches = m_instance.AnswerProbes(m_instance.ReceiveCall());
    REQUIRE(dispatches.size() == 1);
    return dispatches[0];
  }

  /** Ends an attempt 10 ms later; returns the attempts that follow. */
  std::vector<Dispatch> End(const Dispatch& attempt, AttemptResult result) {
    m_instance.Advance(Millis(10));
    Event::AttemptEnded ended;
    ended.now = m_instance.Now();
    ended.call = attempt.call;
    ended.endpoint = attempt.endpoint;
    ended.result = result;
    const Effects effects = m_instance.HandleEvent(ended);
    m_rejections = SingleInstance::EffectsOfType<Effect::Reject>(effects);
    return m_instance.AnswerProbes(effects);
  }

  /** Rejections that the end of the last attempt led to. */
  const std::vector<Effect::Reject>& Rejections() const { return m_rejections; }

 private:
  SingleInstance m_instance;
  uint64_t m_generation = 0;
  std::vector<Effect::Reject> m_rejections;
};

// Guards against a second run (TWICE) of a request whose plan did not permit it, after the answer of the first was
// lost.
TEST_CASE("a call that must not be repeated is not repeated because its plan's name now permits it") {
  for (const AttemptResult lost : {AttemptResult::kBroken, AttemptResult::kMalformed}) {
    CAPTURE(static_cast<int>(lost));
    ChangedPlanFixture fixture;
    fixture.UsePlan(Repeat::kNever);
    const Dispatch attempt = fixture.Start();
    fixture.UsePlan(Repeat::kSafe);
    CHECK(fixture.End(attempt, lost).empty());
    CHECK(fixture.Rejections().size() == 1);
  }
}

// Guards against a second run of a request that the operators have since declared unsafe to repeat.
TEST_CASE("a call is not repeated once its plan forbids it") {
  ChangedPlanFixture fixture;
  fixture.UsePlan(Repeat::kSafe);
  const Dispatch attempt = fixture.Start();
  fixture.UsePlan(Repeat::kNever);
  CHECK(fixture.End(attempt, AttemptResult::kBroken).empty());
}

// Guards against a call that loses its retries with any change of the lists.
TEST_CASE("a call that may be repeated is repeated after a change that leaves it so") {
  ChangedPlanFixture fixture;
  fixture.UsePlan(Repeat::kSafe);
  const Dispatch attempt = fixture.Start();
  fixture.UsePlan(Repeat::kSafe, 3);
  CHECK(fixture.End(attempt, AttemptResult::kBroken).size() == 1);
}

// Guards against a hedge, and so a second run, of a request whose plan did not permit it: its second attempt, after a
// refusal, starts when the plan's name already permits hedges.
TEST_CASE("a call that must not be repeated is not hedged because its plan's name now permits it") {
  StateOptions options;
  options.hedging = true;
  options.hedge_limit = 0.1;
  ChangedPlanFixture fixture(options);
  constexpr int kSamples = 100;
  fixture.UsePlan(Repeat::kSafe);
  for (int i = 0; i < kSamples; ++i)
    fixture.End(fixture.Start(), AttemptResult::kAnswered);
  REQUIRE(fixture.Start().hedge_at != TimePoint::max());
  fixture.UsePlan(Repeat::kNever);
  const Dispatch refused = fixture.Start();
  fixture.UsePlan(Repeat::kSafe);
  const std::vector<Dispatch> retries = fixture.End(refused, AttemptResult::kRefused);
  REQUIRE(retries.size() == 1);
  CHECK(retries[0].hedge_at == TimePoint::max());
}

// Guards against a request that is sent to more endpoints than its plan permits (BUDGET).
TEST_CASE("a call keeps the number of attempts of the plan under which it was admitted") {
  ChangedPlanFixture fixture;
  fixture.UsePlan(Repeat::kSafe, 2);
  const Dispatch first = fixture.Start();
  fixture.UsePlan(Repeat::kSafe, 4);
  const std::vector<Dispatch> second = fixture.End(first, AttemptResult::kBroken);
  REQUIRE(second.size() == 1);
  CHECK(fixture.End(second[0], AttemptResult::kBroken).empty());
}

// Guards against the end of a call whose caller may still fetch the answer: the I/O layer lets its attempt run on.
TEST_CASE("a call that must not be repeated runs on without its caller, whatever its plan's name permits now") {
  ChangedPlanFixture fixture;
  fixture.UsePlan(Repeat::kNever);
  const Dispatch attempt = fixture.Start();
  fixture.UsePlan(Repeat::kSafe);
  fixture.Instance().HandleEvent(Event::CallerGone{fixture.Instance().Now(), attempt.call});
  CHECK(fixture.Parts().calls.Size() == 1);
  fixture.End(attempt, AttemptResult::kAnswered);
  CHECK(fixture.Parts().calls.Size() == 0);
}

}  // namespace
}  // namespace sassafras
