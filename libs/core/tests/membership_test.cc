#include "membership.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

namespace sassafras {
namespace {

using Millis = std::chrono::milliseconds;

/** Members whose heartbeats arrive at a steady pace. */
struct Fleet {
  void Run(Millis time, Millis period) {
    for (const TimePoint end = now + time; now < end; now += Millis(100)) {
      ++step;
      for (int number = 0; number < 20; ++number) {
        Member member;
        member.name = "i" + std::to_string(number);
        member.incarnation = 1;
        member.heartbeat = step;
        // Spread over the period, so that ages differ.
        const bool due =
            (step * 100 + static_cast<uint32_t>(number) * 130) % static_cast<uint32_t>(period.count()) < 100;
        if (due && number != silent)
          members.MergeMember(member, now);
      }
      if (step % 10 == 0)
        members.UpdateSilentTimeout(now);
    }
  }
  size_t Alive() const { return members.CountServing(now); }

  Membership members;
  TimePoint now{std::chrono::hours(1)};
  uint32_t step = 0;
  int silent = -1;
};

TEST_CASE("a frozen member of a fleet that hears often is left out within three seconds") {
  Fleet fleet;
  fleet.Run(Millis(20'000), Millis(500));
  CHECK(fleet.Alive() == 20);
  fleet.silent = 7;
  fleet.Run(Millis(3'100), Millis(500));
  CHECK(fleet.Alive() == 19);
}

TEST_CASE("members of a large fleet, of which word is seldom, are not taken for silent") {
  Fleet fleet;
  fleet.Run(Millis(20'000), Millis(3'000));
  for (int i = 0; i < 20; ++i) {
    fleet.Run(Millis(300), Millis(3'000));
    CHECK(fleet.Alive() == 20);
  }
}

TEST_CASE("many that fall silent at once do not make the others impatient") {
  Fleet fleet;
  fleet.Run(Millis(20'000), Millis(500));
  fleet.Run(Millis(6'000), Millis(3'000));
  fleet.Run(Millis(6'000), Millis(3'000));
  CHECK(fleet.Alive() >= 18);
}

}  // namespace
}  // namespace sassafras
