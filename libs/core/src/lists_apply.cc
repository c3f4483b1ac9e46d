#include "lists_apply.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_set.h>

#include "base/hash.h"
#include "hedge_policy.h"
#include "lists/lists.h"
#include "state_parts.h"
#include "warmup_limit.h"

namespace sassafras {
namespace {

/** Most endpoints of one service that an instance uses for a plan. */
constexpr size_t kMaxSubsetSize = 24;
/** Number of them reserved for other failure domains; more are used if this instance's own domain has too few. */
constexpr size_t kOtherDomainSubsetSize = 8;
/** "lane" and "sub" in ASCII. */
constexpr uint64_t kLongWorkSeed = 0x6c616e65;
constexpr uint64_t kSubsetSeed = 0x737562;

ServiceHandle FindOrAddService(StateParts& parts, const std::string& name) {
  const auto [found, added] = parts.services_by_name.try_emplace(name, static_cast<uint32_t>(parts.services.size()));
  if (added)
    parts.services.emplace_back();
  return found->second;
}

void ApplyServices(StateParts& parts, const Lists& lists) {
  for (ServiceState& service : parts.services) {
    service.active = false;
    service.endpoints.clear();
  }
  for (const Service& row : lists.services) {
    const ServiceHandle handle = FindOrAddService(parts, row.name);
    parts.At(handle).config = row;
    parts.At(handle).active = true;
  }
}

ServiceHandle FindService(const StateParts& parts, const std::string& name) {
  const auto found = parts.services_by_name.find(name);
  const bool known = found != parts.services_by_name.end() && parts.services[found->second.Index()].active;
  return known ? found->second : ServiceHandle();
}

}  // namespace

void ResetBudgets(StateParts& parts) {
  for (ServiceState& service : parts.services) {
    service.retry_budget = AttemptBudget();
    service.hedge_budget = AttemptBudget();
  }
  UpdateBudgets(parts);
}

void UpdateBudgets(StateParts& parts) {
  // Half each, so that retries and hedges together stay within the budget of the fleet. An attempt costs one token, so
  // a limit below one could never be spent. A bucket starts with the share; tokens above it can only be earned by
  // calls.
  const double earn = parts.options.retry_ratio / 2;
  const double share = parts.options.retry_slack / parts.FleetDivisor() / 2;
  const double limit = std::max(1.0, share);
  for (ServiceState& service : parts.services) {
    for (AttemptBudget* bucket : {&service.retry_budget, &service.hedge_budget}) {
      if (bucket->IsSet())
        bucket->SetLimit(limit, share);
      else
        *bucket = AttemptBudget(earn, limit, share);
    }
  }
  UpdateHedgeAllowances(parts);
}

namespace {

/** This instance's share of the connections that an endpoint accepts. */
uint32_t ConnectionShare(const StateParts& parts, uint32_t connections) {
  return std::max(1u, static_cast<uint32_t>(connections / parts.FleetDivisor()));
}

void ApplyEndpoints(StateParts& parts, const Lists& lists, TimePoint now) {
  // Endpoints in the first lists were serving before this instance started, so they do not ramp up.
  const bool ramp = parts.phase != Phase::kStarting;
  absl::flat_hash_map<std::string, ServiceHandle> services;
  for (const Service& row : lists.services)
    services.emplace(row.name, FindService(parts, row.name));
  parts.endpoints.DeactivateAll(now);
  for (const Endpoint& row : lists.endpoints) {
    const ServiceHandle service = services.at(row.service);
    const EndpointHandle handle = parts.endpoints.Upsert(row, service, now, ramp);
    EndpointState& state = parts.At(handle);
    state.same_failure_domain = row.failure_domain == parts.self.failure_domain;
    state.connection_limit = ConnectionShare(parts, row.connections);
    parts.At(service).endpoints.push_back(handle);
  }
}

/**
 * Selects the endpoints that long work may use. All instances select the same ones, because the order depends only on
 * the names.
 */
void AssignLongWorkEndpoints(StateParts& parts, ServiceState& service) {
  const auto share =
      static_cast<size_t>(static_cast<double>(service.endpoints.size()) * service.config.long_share / 100.0);
  const size_t count = std::min(service.endpoints.size(), std::max<size_t>(1, share));
  if (count == service.endpoints.size()) {
    for (const EndpointHandle endpoint : service.endpoints)
      parts.At(endpoint).accepts_long_work = true;
    return;
  }
  std::vector<EndpointHandle> order = service.endpoints;
  std::sort(order.begin(), order.end(), [&](EndpointHandle a, EndpointHandle b) {
    return HashCombine(kLongWorkSeed, parts.At(a).name_hash) < HashCombine(kLongWorkSeed, parts.At(b).name_hash);
  });
  for (size_t i = 0; i < order.size(); ++i)
    parts.At(order[i]).accepts_long_work = i < count;
}

}  // namespace

SubsetSizes SubsetSizesFor(size_t same_domain, size_t other_domain) {
  if (same_domain + other_domain <= kMaxSubsetSize)
    return {same_domain, other_domain};
  const size_t kept_other_domain =
      std::max(std::min(other_domain, kOtherDomainSubsetSize), kMaxSubsetSize - std::min(same_domain, kMaxSubsetSize));
  return {kMaxSubsetSize - kept_other_domain, kept_other_domain};
}

namespace {

/** Moves the `count` entries of [first, last) with the lowest rendezvous hashes to the front. */
void MoveLowestToFront(std::vector<std::pair<uint64_t, EndpointHandle>>::iterator first,
                       std::vector<std::pair<uint64_t, EndpointHandle>>::iterator last,
                       size_t count) {
  const auto by_key = [](const auto& a, const auto& b) { return a.first < b.first; };
  if (count < static_cast<size_t>(last - first))
    std::nth_element(first, first + static_cast<std::ptrdiff_t>(count), last, by_key);
}

/**
 * Reduces the candidates to this instance's subset by rendezvous hashing: most of them in its own failure domain, the
 * others for when those are full.
 */
void KeepSubset(StateParts& parts, std::vector<EndpointHandle>& candidates) {
  if (candidates.size() <= kMaxSubsetSize)
    return;
  const uint64_t seed = HashCombine(kSubsetSeed, parts.self_hash);
  std::vector<std::pair<uint64_t, EndpointHandle>> keyed;
  keyed.reserve(candidates.size());
  for (const EndpointHandle endpoint : candidates)
    keyed.emplace_back(HashCombine(seed, parts.At(endpoint).name_hash), endpoint);
  const auto other_domain_begin = std::stable_partition(
      keyed.begin(), keyed.end(), [&](const auto& entry) { return parts.At(entry.second).same_failure_domain; });
  const auto same_domain_count = static_cast<size_t>(other_domain_begin - keyed.begin());
  const auto [kept_same_domain, kept_other_domain] =
      SubsetSizesFor(same_domain_count, keyed.size() - same_domain_count);
  MoveLowestToFront(keyed.begin(), other_domain_begin, kept_same_domain);
  MoveLowestToFront(other_domain_begin, keyed.end(), kept_other_domain);
  candidates.clear();
  for (size_t i = 0; i < kept_same_domain; ++i)
    candidates.push_back(keyed[i].second);
  for (size_t i = 0; i < kept_other_domain; ++i)
    candidates.push_back(keyed[same_domain_count + i].second);
}

/** Rebuilds the plan's branches; a branch whose service is still in use keeps its credit. */
void ApplyBranches(StateParts& parts, PlanState& plan) {
  std::vector<WeightedService> services = plan.config.split;
  if (services.empty())
    services.push_back({plan.config.service, 1});
  double highest = 0;
  for (const WeightedService& service : services)
    highest = std::max(highest, service.weight);
  std::vector<PlanBranch> branches;
  for (const WeightedService& service : services) {
    PlanBranch& branch = branches.emplace_back();
    branch.service = FindService(parts, service.service);
    // Relative to the highest one, so that sums of weights stay in range.
    branch.weight = service.weight / highest;
    for (const PlanBranch& earlier : plan.branches) {
      if (earlier.service == branch.service)
        branch.credit = earlier.credit;
    }
  }
  plan.branches = std::move(branches);
}

/** Endpoints of the service that the plan may use: all, or only those that it names. */
std::vector<EndpointHandle> CandidatesFor(StateParts& parts, const Plan& row, ServiceHandle service) {
  std::vector<EndpointHandle> candidates;
  const absl::flat_hash_set<std::string> permitted(row.endpoints.begin(), row.endpoints.end());
  for (const EndpointHandle handle : parts.At(service).endpoints) {
    const bool named = permitted.empty() || permitted.contains(parts.endpoints.Listing(handle).name);
    const bool accepts_work = row.work == Work::kShort || parts.At(handle).accepts_long_work;
    // With discovery a leaving endpoint is excluded at once and permanently, so it is not a candidate.
    const bool stays = !parts.options.discovery || !parts.At(handle).leaving;
    if (named && accepts_work && stays && !parts.At(handle).evacuated)
      candidates.push_back(handle);
  }
  KeepSubset(parts, candidates);
  return candidates;
}

void ApplyPlan(StateParts& parts, const Plan& row) {
  const PlanHandle handle = parts.plans.FindOrAdd(row.name);
  PlanState& plan = parts.At(handle);
  plan.config = row;
  plan.active = true;
  ApplyBranches(parts, plan);
  if (!HasCommonCandidates(row))
    parts.plans_with_own_candidates.push_back(handle);
}

void ApplyPlans(StateParts& parts, const Lists& lists) {
  parts.plans.DeactivateAll();
  parts.plans_with_own_candidates.clear();
  for (const Plan& row : lists.plans)
    ApplyPlan(parts, row);
  for (PlanState& plan : parts.plans.All()) {
    if (!plan.active)
      plan.branches.clear();
  }
}

void RefreshCandidates(StateParts& parts) {
  for (ServiceState& service : parts.services)
    AssignLongWorkEndpoints(parts, service);
  const Plan any_short_work;
  for (uint32_t index = 0; index < parts.services.size(); ++index)
    parts.services[index].common_candidates = CandidatesFor(parts, any_short_work, ServiceHandle(index));
  for (const PlanHandle handle : parts.plans_with_own_candidates) {
    PlanState& plan = parts.At(handle);
    for (PlanBranch& branch : plan.branches)
      branch.own_candidates = CandidatesFor(parts, plan.config, branch.service);
  }
}

}  // namespace

void ApplyLists(StateParts& parts, const Lists& lists, TimePoint now) {
  parts.limits = lists.limits;
  parts.accounts.Apply(lists.accounts);
  ApplyServices(parts, lists);
  UpdateBudgets(parts);
  ApplyPlans(parts, lists);
  UpdateHedgeAllowances(parts);
  parts.plan_index.Rebuild(parts.plans.All());
  if (parts.options.discovery) {
    ApplyDiscoveredEndpoints(parts, now);
    return;
  }
  ApplyEndpoints(parts, lists, now);
  RefreshCandidates(parts);
  parts.endpoints.ReclaimInactive(now);
}

void ApplyDiscoveredEndpoints(StateParts& parts, TimePoint now) {
  // Endpoints that were listed when this instance started were serving before, so they do not ramp up.
  const bool ramp = parts.phase != Phase::kStarting;
  for (ServiceState& service : parts.services)
    service.endpoints.clear();
  parts.endpoints.DeactivateAll(now);
  for (const auto& [name, known] : parts.feed.All()) {
    const ServiceHandle service = FindService(parts, known.change.row.service);
    if (!service.IsValid() || known.change.kind == EndpointChange::Kind::kGone)
      continue;
    const EndpointHandle handle = parts.endpoints.Upsert(known.change.row, service, now, ramp);
    EndpointState& state = parts.At(handle);
    parts.endpoints.RestoreLeavingMark(handle);
    parts.endpoints.RecordIncarnation(handle, known.change.incarnation, now);
    const bool listed_leaving = known.change.kind == EndpointChange::Kind::kLeaving;
    if (listed_leaving)
      parts.endpoints.MarkLeaving(handle, known.change.incarnation);
    // The entry does not withdraw a mark: answers of the endpoint may have said before the store that it leaves.
    state.leaving = listed_leaving || state.HasLeavingMark();
    ApplyListedWarmup(state, known);
    state.evacuated = parts.evacuations.Contains(known.change.row.failure_domain);
    state.same_failure_domain = known.change.row.failure_domain == parts.self.failure_domain;
    state.connection_limit = ConnectionShare(parts, parts.At(service).config.connections);
    parts.At(service).endpoints.push_back(handle);
  }
  RefreshCandidates(parts);
  ChooseWarmupEndpoints(parts);
  parts.endpoints.ReclaimInactive(now);
}

}  // namespace sassafras
