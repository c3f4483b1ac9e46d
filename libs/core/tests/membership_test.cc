#include "membership.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

namespace sassafras {
namespace {

using Millis = std::chrono::milliseconds;

/** 20 members, of which each sends a heartbeat once per period. */
struct Fleet {
  /** Advances the clock in steps of 100 ms; `silent_member` sends nothing. */
  void Run(Millis time, Millis period) {
    for (const TimePoint end = now + time; now < end; now += Millis(100)) {
      ++step;
      for (int number = 0; number < 20; ++number) {
        Member member;
        member.name = "i" + std::to_string(number);
        member.incarnation = 1;
        member.heartbeat = step;
        // Staggered over the period, so that the ages of heartbeats differ.
        const bool due =
            (step * 100 + static_cast<uint32_t>(number) * 130) % static_cast<uint32_t>(period.count()) < 100;
        if (due && number != silent_member)
          members.MergeMember(member, now);
      }
      if (step % 10 == 0)
        members.UpdateSilentTimeout(now);
    }
  }
  size_t ServingCount() const { return members.CountServing(now); }

  Membership members;
  TimePoint now{std::chrono::hours(1)};
  uint32_t step = 0;
  int silent_member = -1;
};

TEST_CASE("a silent member of a fleet with frequent heartbeats is excluded within three seconds") {
  Fleet fleet;
  fleet.Run(Millis(20'000), Millis(500));
  CHECK(fleet.ServingCount() == 20);
  fleet.silent_member = 7;
  fleet.Run(Millis(3'100), Millis(500));
  CHECK(fleet.ServingCount() == 19);
}

TEST_CASE("members of a large fleet with infrequent heartbeats are not considered silent") {
  Fleet fleet;
  fleet.Run(Millis(20'000), Millis(3'000));
  for (int i = 0; i < 20; ++i) {
    fleet.Run(Millis(300), Millis(3'000));
    CHECK(fleet.ServingCount() == 20);
  }
}

TEST_CASE("a sudden drop in the rate of heartbeats does not exclude most members") {
  Fleet fleet;
  fleet.Run(Millis(20'000), Millis(500));
  fleet.Run(Millis(6'000), Millis(3'000));
  fleet.Run(Millis(6'000), Millis(3'000));
  CHECK(fleet.ServingCount() >= 18);
}

}  // namespace
}  // namespace sassafras
