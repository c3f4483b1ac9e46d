#include <doctest/doctest.h>

#include <chrono>
#include <random>

#include "single_instance.h"

namespace sassafras {
namespace {

using Millis = SingleInstance::Millis;

/** Calls sent up to this time after the request to stop may be cut at its end (users' rules). */
constexpr Millis kExcused{3'000};

/** An instance with endpoints, that is asked to stop at time 0 and whose process ends at `ends`. */
class StoppingInstance {
 public:
  StoppingInstance(Millis plan_limit, Millis ends) : m_start(m_instance.Now()) {
    Lists lists = SingleInstance::MakeLists("s", Repeat::kNever);
    lists.plans[0].deadline = plan_limit;
    m_instance.ReceiveLists(1, lists);
    std::vector<EndpointChange> changes;
    for (uint64_t i = 0; i < 6; ++i)
      changes.push_back(SingleInstance::MakeChange("e" + std::to_string(i), 10 + i));
    m_instance.ReceiveEndpoints(changes, true, 20);
    m_instance.HandleEvent(Event::StopRequested{m_start, m_start + ends});
  }

  /** Lets the time pass until `at` after the request to stop. */
  void PassUntil(Millis at) {
    constexpr Millis kTickPeriod{50};
    while (m_instance.Now() + kTickPeriod < m_start + at) {
      m_instance.Advance(kTickPeriod);
      m_instance.HandleEvent(Event::Tick{m_instance.Now()});
    }
    m_instance.Advance(m_start + at - m_instance.Now());
  }

  /** Why a call that arrives now, and whose caller waits for `limit`, is rejected at once; nothing if it is admitted.
   */
  std::optional<Reason> RejectionOf(Millis limit) {
    const auto rejects = SingleInstance::EffectsOfType<Effect::Reject>(m_instance.ReceiveCall(limit));
    return rejects.empty() ? std::nullopt : std::optional(rejects[0].reason);
  }

 private:
  SingleInstance m_instance;
  TimePoint m_start;
};

}  // namespace

// Guards against a stopping process that takes requests which it then has to cut when it ends (LOST).
TEST_CASE("a stopping instance rejects at once what might still run when its process ends") {
  StoppingInstance stopping(Millis(8'000), Millis(9'850));
  stopping.PassUntil(Millis(2'000));
  CHECK_FALSE(stopping.RejectionOf(Millis(8'000)).has_value());
  stopping.PassUntil(Millis(3'100));
  CHECK(stopping.RejectionOf(Millis(8'000)) == Reason::kStopping);
  CHECK_FALSE(stopping.RejectionOf(Millis(6'500)).has_value());
  stopping.PassUntil(Millis(3'900));
  CHECK(stopping.RejectionOf(Millis(20'000)) == Reason::kStopping);
  CHECK(stopping.RejectionOf(Millis(6'500)) == Reason::kStopping);
  CHECK_FALSE(stopping.RejectionOf(Millis(5'500)).has_value());
}

// Guards against the same with other graces and limits; the plan's limit counts as the caller's does.
TEST_CASE(
    "whatever the grace and the time limits, a call that a stopping instance admits late ends before its process") {
  std::mt19937 random(1);
  const auto draw = [&](int from_ms, int to_ms) {
    return Millis(from_ms + static_cast<int>(random() % (to_ms - from_ms)));
  };
  int admitted_late = 0;
  for (int i = 0; i < 500; ++i) {
    const Millis ends = draw(500, 30'000);
    const Millis plan_limit = draw(200, 40'000);
    StoppingInstance stopping(plan_limit, ends);
    for (Millis at = draw(1, 1'000); at < ends; at += draw(100, 3'000)) {
      stopping.PassUntil(at);
      const Millis limit = draw(200, 40'000);
      const bool admitted = !stopping.RejectionOf(limit).has_value();
      const bool ends_in_time = at + std::min(limit, plan_limit) < ends;
      CAPTURE(ends.count());
      CAPTURE(at.count());
      CAPTURE(limit.count());
      REQUIRE((!admitted || at <= kExcused || ends_in_time));
      admitted_late += admitted && at > kExcused ? 1 : 0;
    }
  }
  // Short calls are served until the listeners are closed.
  CHECK(admitted_late > 100);
}

}  // namespace sassafras
