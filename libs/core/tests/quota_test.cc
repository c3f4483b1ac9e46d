#include <doctest/doctest.h>

#include <cstddef>
#include <string>
#include <vector>

#include "core/quota_counters.h"
#include "quota_fleet.h"

namespace sassafras {
namespace {

using Millis = QuotaFleet::Millis;
using Load = QuotaFleet::Load;

constexpr size_t kInstances = 10;
constexpr uint64_t kSeeds = 3;

Account Limit(const std::string& name, double rate, double burst) {
  return QuotaFleet::MakeAccount(name, rate, burst);
}

/** One account whose quota has one shard, and one whose quota has several. */
std::vector<Account> SmallAndLarge() {
  return {Limit("small", 20, 20), Limit("large", 200, 100)};
}

/** Calls of every account at all instances, at a multiple of its rate. */
std::vector<Load> LoadAll(const QuotaFleet& fleet, const std::vector<Account>& accounts, double factor) {
  std::vector<Load> loads;
  for (size_t i = 0; i < accounts.size(); ++i)
    loads.push_back({i, fleet.All(), accounts[i].rate_per_second * factor});
  return loads;
}

// Guards against a quota that counts only what other instances were asked for, and against callers of few instances
// that are held to the share of those instances.
TEST_CASE("quota: a hot account on one instance gets its limit and no more") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    QuotaFleet fleet(kInstances, SmallAndLarge(), seed);
    fleet.Advance(Millis(3'000));
    fleet.SetLoads({{0, {3}, 150}, {1, {3}, 1'500}});
    fleet.Advance(Millis(20'000));
    for (const size_t account : {0, 1}) {
      CAPTURE(account);
      CHECK(fleet.WorstWindow(account) <= 1.0);
      CHECK(static_cast<double>(fleet.CountsOf(account).served) >= 0.9 * (account == 0 ? 20 : 200) * 20);
    }
  }
}

// Guards against accounts that together exceed what each may, as when buckets of different accounts are mixed up.
TEST_CASE("quota: all accounts over their limit together") {
  std::vector<Account> accounts;
  for (size_t i = 0; i < 30; ++i)
    accounts.push_back(Limit("a" + std::to_string(i), 2.0 + static_cast<double>(i * 2), 10));
  QuotaFleet fleet(kInstances, accounts);
  fleet.Advance(Millis(3'000));
  fleet.SetLoads(LoadAll(fleet, accounts, 4));
  fleet.Advance(Millis(15'000));
  for (size_t i = 0; i < accounts.size(); ++i) {
    CAPTURE(i);
    CHECK(fleet.WorstWindow(i) <= 1.0);
    CHECK(static_cast<double>(fleet.CountsOf(i).served) >= 0.9 * accounts[i].rate_per_second * 15);
  }
}

// Guards against an instance that serves the whole limit by itself while it is cut off.
TEST_CASE("quota: a hot account while an instance is cut off") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    QuotaFleet fleet(kInstances, SmallAndLarge(), seed);
    fleet.Advance(Millis(3'000));
    fleet.SetLoads(LoadAll(fleet, SmallAndLarge(), 5));
    fleet.Advance(Millis(10'000));
    fleet.SetIsolated(seed, true);
    fleet.Advance(Millis(15'000));
    fleet.SetIsolated(seed, false);
    fleet.Advance(Millis(10'000));
    CHECK(fleet.WorstWindow(0) <= 1.0);
    CHECK(fleet.WorstWindow(1) <= 1.0);
    CHECK(fleet.StateOf(seed).Quotas().fallback_admissions > 0);
  }
}

// Guards against the owners of two parts of the fleet that each grant the whole rate until members count as silent.
TEST_CASE("quota: all accounts over their limit while the fleet is split into halves") {
  for (const size_t instances : {kInstances, 5 * kInstances}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(instances);
      CAPTURE(seed);
      QuotaFleet fleet(instances, SmallAndLarge(), seed);
      fleet.Advance(Millis(3'000));
      fleet.SetLoads(LoadAll(fleet, SmallAndLarge(), 5));
      fleet.Advance(Millis(10'000));
      fleet.SetPartition(instances / 2);
      fleet.Advance(Millis(15'000));
      fleet.SetPartition(0);
      fleet.Advance(Millis(5'000));
      CHECK(fleet.WorstWindow(0) <= 1.0);
      CHECK(fleet.WorstWindow(1) <= 1.0);
    }
  }
}

// Guards against buckets and stocks that keep the tokens of the former limit.
TEST_CASE("quota: the limit lowered under load") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    QuotaFleet fleet(kInstances, {Limit("a", 200, 400)}, seed);
    fleet.Advance(Millis(15'000));
    fleet.SetLoads({{0, fleet.All(), 300}});
    fleet.Advance(Millis(5'000));
    fleet.SetAccounts({Limit("a", 20, 10)});
    fleet.Advance(Millis(1'000));
    const TimePoint in_force = fleet.Now();
    fleet.Advance(Millis(10'000));
    CHECK(fleet.WorstWindow(0, in_force) <= 1.0);
  }
}

// Guards against a token bucket that is full again on each new owner.
TEST_CASE("quota: owners killed one after the other") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    QuotaFleet fleet(kInstances, SmallAndLarge(), seed);
    fleet.Advance(Millis(3'000));
    fleet.SetLoads(LoadAll(fleet, SmallAndLarge(), 3));
    fleet.Advance(Millis(8'000));
    for (size_t instance = 0; instance < 5; ++instance) {
      fleet.Kill(instance);
      fleet.Advance(Millis(6'000));
      fleet.Restart(instance);
      fleet.Advance(Millis(3'000));
    }
    CHECK(fleet.WorstWindow(0) <= 1.0);
    CHECK(fleet.WorstWindow(1) <= 1.0);
  }
}

// Guards against rejections below the limit while the shards of a killed owner move to the next one.
TEST_CASE("quota: an owner killed while accounts are below their limit") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    QuotaFleet fleet(kInstances, SmallAndLarge(), seed);
    fleet.Advance(Millis(10'000));
    fleet.SetLoads(LoadAll(fleet, SmallAndLarge(), 0.5));
    fleet.Advance(Millis(3'000));
    fleet.Kill(seed);
    fleet.ResetCounts();
    fleet.Advance(Millis(10'000));
    CHECK(fleet.RejectedShare(0) <= 0.01);
    CHECK(fleet.RejectedShare(1) <= 0.01);
  }
}

// Guards against every instance that takes itself for the only one, and so for the owner of every shard.
TEST_CASE("quota: a start of all instances under load") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    QuotaFleet fleet(kInstances, SmallAndLarge(), seed);
    fleet.SetLoads(LoadAll(fleet, SmallAndLarge(), 7.5));
    fleet.Advance(Millis(10'000));
    for (const size_t instance : fleet.All())
      fleet.Kill(instance);
    fleet.Advance(Millis(500));
    for (const size_t instance : fleet.All())
      fleet.Restart(instance);
    fleet.Advance(Millis(10'000));
    CHECK(fleet.WorstWindow(0) <= 1.0);
    CHECK(fleet.WorstWindow(1) <= 1.0);
  }
}

// Guards against equal shares for all instances, under which callers that use few of them are rejected too early.
TEST_CASE("quota: an account below its limit is not rejected, whichever instances its callers use") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    QuotaFleet fleet(kInstances, SmallAndLarge(), seed);
    fleet.Advance(Millis(10'000));
    for (const std::vector<size_t>& used : {fleet.All(), {1}, {2, 7}, {5}}) {
      fleet.SetLoads({{0, used, 20 * 0.7}, {1, used, 200 * 0.7}});
      fleet.Advance(Millis(5'000));
    }
    CHECK(fleet.RejectedShare(0) <= 0.005);
    CHECK(fleet.RejectedShare(1) <= 0.005);
  }
}

// Guards against a datagram for each call of a busy account, and for each call that is rejected.
TEST_CASE("quota: 7.5 times the usual, with few datagrams") {
  QuotaFleet fleet(kInstances, {Limit("a", 200, 100)});
  fleet.Advance(Millis(10'000));
  const size_t before_usual = fleet.DatagramCount();
  fleet.Advance(Millis(10'000));
  const size_t idle = fleet.DatagramCount() - before_usual;
  fleet.SetLoads({{0, {0, 1}, 150}});
  const size_t before_load = fleet.DatagramCount();
  fleet.Advance(Millis(10'000));
  CHECK(fleet.RejectedShare(0) <= 0.005);
  const size_t usual = fleet.DatagramCount() - before_load - idle;
  CHECK(static_cast<double>(usual) < 0.8 * 1'500);
  fleet.SetLoads({{0, fleet.All(), 150 * 7.5}});
  const size_t before_wave = fleet.DatagramCount();
  fleet.Advance(Millis(10'000));
  const size_t wave = fleet.DatagramCount() - before_wave - idle;
  CHECK(static_cast<double>(wave) < 0.8 * 11'250);
  CHECK(fleet.WorstWindow(0) <= 1.0);
  // One record for each instance, beside those of the membership.
  CHECK(fleet.LogRecordCount() <= 3 * kInstances);
}

// Guards against members that grant the whole rate in place of an owner whose replies were lost.
TEST_CASE("quota: lost datagrams") {
  for (const double loss : {0.05, 0.2}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(loss);
      CAPTURE(seed);
      QuotaFleet fleet(kInstances, SmallAndLarge(), seed);
      fleet.Advance(Millis(3'000));
      fleet.SetLossRate(loss);
      fleet.SetLoads(LoadAll(fleet, SmallAndLarge(), 5));
      fleet.Advance(Millis(20'000));
      CHECK(fleet.WorstWindow(0) <= 1.0);
      CHECK(fleet.WorstWindow(1) <= 1.0);
    }
  }
}

// Guards against retries that no quota counts.
TEST_CASE("quota: retries count") {
  QuotaFleet fleet(kInstances, SmallAndLarge());
  fleet.Advance(Millis(3'000));
  fleet.SetBrokenRate(0.5);
  fleet.SetLoads(LoadAll(fleet, SmallAndLarge(), 3));
  fleet.Advance(Millis(15'000));
  CHECK(fleet.WorstWindow(0) <= 1.0);
  CHECK(fleet.WorstWindow(1) <= 1.0);
}

// Guards against several owners of one shard: after the start of many instances it takes them long to hear all others.
TEST_CASE("quota: a wave right after, and some time after the start of 146 instances") {
  std::vector<Account> accounts;
  for (size_t i = 0; i < 20; ++i)
    accounts.push_back(Limit("a" + std::to_string(i), 13, 13));
  for (const Millis quiet : {Millis(0), Millis(7'000)}) {
    CAPTURE(quiet.count());
    QuotaFleet fleet(146, accounts);
    fleet.SetLoads(LoadAll(fleet, accounts, 0.8));
    fleet.Advance(quiet);
    fleet.SetLoads(LoadAll(fleet, accounts, 5));
    fleet.Advance(Millis(8'000));
    for (size_t i = 0; i < accounts.size(); ++i)
      CHECK(fleet.WorstWindow(i) <= 1.0);
  }
}

// Guards against rejections of an account that is below its limit, but whose calls arrive unevenly.
// Listed in KNOWN-RED.txt: the run passes over its failure and prints it.
TEST_CASE("quota: an account with a small burst below its limit" * doctest::may_fail()) {
  QuotaFleet fleet(kInstances, {Limit("a", 5, 2)});
  fleet.Advance(Millis(10'000));
  // At 4 a second, one window of 5 s in twenty would by chance be over the limit.
  fleet.SetLoads({{0, fleet.All(), 3}});
  fleet.Advance(Millis(60'000));
  CHECK(fleet.RejectedShare(0) <= 0.005);
}

// Guards against a Retry-After that many rejected callers get for one token.
TEST_CASE("quota: rejected callers that return after Retry-After are mostly served then") {
  QuotaFleet fleet(kInstances, {Limit("a", 50, 25)});
  fleet.Advance(Millis(10'000));
  // Half as much again as the limit for a while, then less than it: the calls rejected fit into the time after.
  fleet.SetLoads({{0, fleet.All(), 75, true}});
  fleet.Advance(Millis(5'000));
  fleet.SetLoads({{0, fleet.All(), 10, true}});
  fleet.Advance(Millis(20'000));
  const QuotaFleet::Counts& counts = fleet.CountsOf(0);
  CHECK(counts.returned > 50);
  CHECK(static_cast<double>(counts.returned_rejected) < 0.5 * static_cast<double>(counts.returned));
  CHECK(fleet.WorstWindow(0) <= 1.0);
}

// Guards against state for accounts or shards that are not used, and against a price for calls without a limit.
TEST_CASE("quota: accounts without a limit send and hold nothing") {
  QuotaFleet fleet(kInstances, {Limit("free", 0, 0)});
  fleet.Advance(Millis(5'000));
  fleet.SetLoads({{0, fleet.All(), 300}});
  fleet.Advance(Millis(5'000));
  CHECK(fleet.CountsOf(0).rejected == 0);
  for (const size_t instance : fleet.All()) {
    CHECK(fleet.StateOf(instance).Quotas().tokens_requested == 0);
    CHECK(fleet.StateOf(instance).QuotaShardsHeld() == 0);
  }
}

}  // namespace
}  // namespace sassafras
