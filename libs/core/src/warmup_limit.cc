#include "warmup_limit.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>

#include "base/hash.h"
#include "lists_apply.h"
#include "roster.h"
#include "state_parts.h"

namespace sassafras {
namespace {

/** Expected number of instances that use one endpoint in warm-up. */
constexpr double kExpectedUsers = 2.0;
/**
 * Share of the tolerated rate that one instance uses. Two instances expected leave room: up to six may be chosen by
 * chance before they reach the bound of 1.5 times the rate.
 */
constexpr double kRateShare = 0.25;
/** "warm" in ASCII. */
constexpr uint64_t kWarmupSeed = 0x7761726d;

/** Returns `hash` scaled to [0, 1). */
double Scaled(uint64_t hash) {
  constexpr int kMantissaBits = 53;
  return static_cast<double>(hash >> (64 - kMantissaBits)) / static_cast<double>(uint64_t{1} << kMantissaBits);
}

/** Usable endpoints of one service by failure domain. */
using DomainCounts = absl::flat_hash_map<std::string_view, size_t>;

bool IsUsable(const EndpointState& state) {
  return state.active && !state.leaving && !state.evacuated;
}

size_t CountIn(const DomainCounts& counts, std::string_view domain) {
  const auto found = counts.find(domain);
  return found == counts.end() ? 0 : found->second;
}

/** Expected number of instances that have an endpoint of `domain` among their candidates. */
double ExpectedHolders(const StateParts& parts, const DomainCounts& counts, size_t total, std::string_view domain) {
  double holders = 0;
  for (const auto& [instance_domain, instances] : parts.warmup_fleet.largest) {
    const size_t same = CountIn(counts, instance_domain);
    const SubsetSizes kept = SubsetSizesFor(same, total - same);
    const bool is_same = instance_domain == domain;
    const size_t candidates = is_same ? same : total - same;
    if (candidates > 0)
      holders += static_cast<double>(instances) * static_cast<double>(is_same ? kept.same_domain : kept.other_domain) /
                 static_cast<double>(candidates);
  }
  return holders;
}

void ChooseInService(StateParts& parts, const ServiceState& service) {
  DomainCounts counts;
  size_t total = 0;
  for (const EndpointHandle endpoint : service.endpoints) {
    if (!IsUsable(parts.At(endpoint)))
      continue;
    ++counts[parts.endpoints.Listing(endpoint).failure_domain];
    ++total;
  }
  absl::flat_hash_map<std::string_view, double> thresholds;
  for (const auto& [domain, count] : counts) {
    // An instance that does not know the fleet yet could take itself for one of the few.
    const double holders = ExpectedHolders(parts, counts, total, domain);
    thresholds[domain] = parts.warmup_fleet.known ? kExpectedUsers / std::max(1.0, holders) : 0.0;
  }
  const uint64_t seed = HashCombine(kWarmupSeed, parts.self_hash);
  for (const EndpointHandle endpoint : service.endpoints) {
    EndpointState& state = parts.At(endpoint);
    const auto threshold = thresholds.find(parts.endpoints.Listing(endpoint).failure_domain);
    state.may_use_in_warmup =
        threshold != thresholds.end() && Scaled(HashCombine(seed, state.name_hash)) < threshold->second;
  }
}

}  // namespace

bool IsLimitedByWarmup(StateParts& parts, const EndpointState& state, TimePoint now) {
  return state.warmup_until > now && state.service.IsValid() && parts.At(state.service).config.warmup_rate > 0;
}

bool IsWarmupLimitReached(StateParts& parts, const EndpointState& state, TimePoint now) {
  if (!IsLimitedByWarmup(parts, state, now))
    return false;
  const std::chrono::duration<double> pause(1.0 / (kRateShare * parts.At(state.service).config.warmup_rate));
  return !state.may_use_in_warmup || now - state.dispatched_at < pause;
}

void ChooseWarmupEndpoints(StateParts& parts) {
  for (const ServiceState& service : parts.services) {
    if (service.active && service.config.warmup_rate > 0)
      ChooseInService(parts, service);
  }
}

void UpdateWarmupFleet(StateParts& parts, TimePoint now) {
  WarmupFleet& fleet = parts.warmup_fleet;
  absl::flat_hash_map<std::string_view, size_t> counts;
  for (const Membership::Entry& entry : parts.members.All()) {
    if (parts.members.IsAlive(entry, now) && !entry.member.leaving)
      ++counts[entry.member.failure_domain];
  }
  bool changed = !fleet.known && KnowsFleet(parts, now);
  fleet.known = fleet.known || changed;
  for (const auto& [domain, count] : counts) {
    size_t& largest = fleet.largest[std::string(domain)];
    changed = changed || count > largest;
    largest = std::max(largest, count);
  }
  if (changed)
    ChooseWarmupEndpoints(parts);
}

void LearnWarmup(StateParts& parts, EndpointHandle endpoint, const LoadReport& load, TimePoint now) {
  EndpointState& state = parts.At(endpoint);
  // A report of an earlier incarnation says nothing about the current one.
  if (load.incarnation != 0 && load.incarnation < state.incarnation)
    return;
  if (load.warmup_left.has_value())
    state.states_warmup = true;
  else if (!load.present || !state.states_warmup)
    return;
  // An endpoint that has stated its warm-up before and states none now has ended it. One that never states any may
  // still be in warm-up by its entry in the store.
  state.warmup_until = now + load.warmup_left.value_or(std::chrono::milliseconds::zero());
  state.warmup_stated_at = now;
}

void ApplyListedWarmup(EndpointState& state, const EndpointFeed::KnownEndpoint& listed) {
  // RecordIncarnation() discards what an earlier incarnation stated.
  if (state.warmup_stated_at == TimePoint()) {
    state.warmup_until = listed.warmup_until;
    return;
  }
  // The entry may have been written before the endpoint's own statement even if it arrived later, so it may only extend
  // the warm-up that the endpoint stated.
  if (listed.warmup_reported_at > state.warmup_stated_at)
    state.warmup_until = std::max(state.warmup_until, listed.warmup_until);
}

}  // namespace sassafras
