#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "hedge_allowance.h"

namespace sassafras {
namespace {

constexpr double kLimit = 0.1;
constexpr double kSlack = 20;

int SpendIfPossible(HedgeAllowance& allowance) {
  if (!allowance.CanSpend())
    return 0;
  allowance.Spend();
  return 1;
}

// Load: 146 instances with few calls each, every one of which wants a hedge. Guards against a first hedge for each
// instance that no call has earned, and against shares so small that no instance ever sends a hedge.
TEST_CASE("many small instances that start together stay within the limit of the fleet, and all get hedges") {
  constexpr size_t kInstances = 146;
  std::vector<HedgeAllowance> instances(kInstances);
  std::vector<int> sent_by(kInstances);
  for (HedgeAllowance& instance : instances)
    instance.Configure(kLimit, 240.0 / kInstances, kSlack / kInstances);
  std::mt19937 random(1);
  int sent = 0;
  for (int calls = 1; calls <= 5'000; ++calls) {
    const size_t index = random() % kInstances;
    instances[index].Earn();
    const int spent = SpendIfPossible(instances[index]);
    sent += spent;
    sent_by[index] += spent;
    REQUIRE(sent <= kLimit * calls + kSlack);
  }
  CHECK(sent > kLimit * 5'000 * 0.8);
  CHECK(*std::min_element(sent_by.begin(), sent_by.end()) >= 1);
}

// Load: instances that know nobody at first and hedge at once. Guards against a slack that is granted in full to each
// instance that has not yet heard of the others.
TEST_CASE("an instance that learns of a larger fleet gives back the excess of its share, also if it was spent") {
  constexpr size_t kInstances = 100;
  std::vector<HedgeAllowance> instances(kInstances);
  int sent = 0;
  int calls = 0;
  for (HedgeAllowance& instance : instances) {
    instance.Configure(kLimit, 240, kSlack);
    for (int i = 0; i < 5; ++i)
      sent += SpendIfPossible(instance);
  }
  REQUIRE(sent == 5 * kInstances);
  for (HedgeAllowance& instance : instances)
    instance.Configure(kLimit, 2.4, kSlack / kInstances);
  for (int round = 0; round < 200; ++round) {
    for (HedgeAllowance& instance : instances) {
      instance.Earn();
      ++calls;
      sent += SpendIfPossible(instance);
    }
  }
  CHECK(sent <= kLimit * calls + kSlack);
  CHECK(sent > kLimit * calls * 0.9);
}

// Guards against a grant that is paid again with each change of the lists or the settings.
TEST_CASE("the share of the slack is granted once") {
  HedgeAllowance allowance;
  for (int i = 0; i < 10; ++i) {
    allowance.Configure(i % 2 == 0 ? kLimit : 0, 10, 2);
    while (allowance.CanSpend())
      allowance.Spend();
  }
  allowance.Configure(kLimit, 10, 2);
  CHECK_FALSE(allowance.CanSpend());
}

// Load: a quiet night before a busy minute. Guards against calls of hours that add up to one burst of hedges.
TEST_CASE("no more hedges are saved up than allowed") {
  HedgeAllowance allowance;
  allowance.Configure(kLimit, 3, 0);
  for (int i = 0; i < 1'000; ++i)
    allowance.Earn();
  int sent = 0;
  while (SpendIfPossible(allowance) > 0)
    ++sent;
  CHECK(sent == 3);
}

}  // namespace
}  // namespace sassafras
