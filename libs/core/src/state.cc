#include "core/state.h"

#include <algorithm>
#include <string>

#include "base/hash.h"
#include "control.h"
#include "core/plan_counters.h"
#include "core/state_options.h"
#include "dispatch.h"
#include "freshness.h"
#include "key_confirmation.h"
#include "state_parts.h"

namespace sassafras {
namespace {

/** Fewest members of a failure domain that its callers can rely on. */
constexpr size_t kMinSameDomainMembers = 2;
/** Most addresses in one answer. */
constexpr size_t kMaxAddresses = 64;

}  // namespace

StateParts::StateParts(const StateOptions& options_in)
    : options(options_in),
      random(options_in.random_seed),
      self_hash(Hash64(options_in.self.name)),
      self(options_in.self),
      records(options_in.record_limit, options_in.record_bytes_limit) {
  members.MergeMember(self, options.start);
}

const std::vector<EndpointHandle>& StateParts::CandidatesOf(const CallState& call) const {
  static const std::vector<EndpointHandle> kNone;
  const PlanState& plan = plans[call.plan];
  for (const PlanBranch& branch : plan.branches) {
    if (branch.service == call.service)
      return CandidatesOf(plan, branch);
  }
  return kNone;
}

const std::vector<EndpointHandle>& StateParts::CandidatesOf(const PlanState& plan, const PlanBranch& branch) const {
  return HasCommonCandidates(plan.config) ? services[branch.service.Index()].common_candidates : branch.own_candidates;
}

double StateParts::FleetDivisor() const {
  return static_cast<double>(std::max<size_t>({1, options.fleet_limit, largest_fleet}));
}

uint32_t StateParts::EpochAt(TimePoint now) const {
  return static_cast<uint32_t>((now - options.start) / IdempotencyTable::kEpochLength);
}

State::State(const StateOptions& options) : m_parts(std::make_unique<StateParts>(options)) {}

State::~State() = default;

Phase State::CurrentPhase() const {
  return m_parts->phase;
}

uint64_t State::Generation() const {
  return m_parts->lists.generation;
}

uint64_t State::AnnouncedGeneration() const {
  return m_parts->lists.announced_generation;
}

std::chrono::milliseconds State::ListsAge(TimePoint now) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(now - m_parts->lists.store_confirmed_at);
}

std::chrono::milliseconds State::ListsWatchWait() const {
  return WatchWait(*m_parts, ListsFreshness(*m_parts));
}

size_t State::CallsInProgress() const {
  return m_parts->calls.Size();
}

size_t State::CallsWaiting() const {
  return CountWaiting(*m_parts);
}

PlanHandle State::FindPlan(std::string_view host, std::string_view method, std::string_view path) const {
  return m_parts->plan_index.Find(host, method, path);
}

bool State::HasAccounts() const {
  return m_parts->HasAccounts();
}

bool State::NeedsKeyConfirmation() const {
  return sassafras::NeedsKeyConfirmation(*m_parts);
}

bool State::AreKeysConfirmed(TimePoint now) const {
  return sassafras::AreKeysConfirmed(*m_parts, now);
}

std::chrono::milliseconds State::KeyConfirmationAge(TimePoint now) const {
  return sassafras::KeyConfirmationAge(*m_parts, now);
}

uint64_t State::CallsRejectedForKeys() const {
  return m_parts->keys.rejected_calls;
}

bool State::MaySendWithKey(CallHandle call, TimePoint now) const {
  if (!HasAccounts())
    return true;
  const CallState* known = m_parts->calls.Find(call);
  return known != nullptr && !KeyRejection(*m_parts, *known, now).has_value();
}

AccountHandle State::FindAccount(std::string_view key) const {
  return m_parts->accounts.FindByKey(key);
}

std::string_view State::AccountName(AccountHandle account) const {
  return m_parts->accounts[account].config.name;
}

const Plan& State::PlanConfig(PlanHandle plan) const {
  return m_parts->At(plan).config;
}

const Endpoint& State::EndpointConfig(EndpointHandle endpoint) const {
  return m_parts->endpoints.Listing(endpoint);
}

std::string_view State::ProbePath(EndpointHandle endpoint) const {
  return m_parts->At(m_parts->At(endpoint).service).config.probe_path;
}

bool State::IsLeaving(EndpointHandle endpoint) const {
  return m_parts->At(endpoint).leaving;
}

bool State::AcceptsCalls(EndpointHandle endpoint) const {
  const EndpointState& state = m_parts->At(endpoint);
  return state.active && !state.leaving && !state.evacuated;
}

bool State::IsEvacuated(EndpointHandle endpoint) const {
  return m_parts->At(endpoint).evacuated;
}

bool State::IsHeldOff(EndpointHandle endpoint, TimePoint now) const {
  return m_parts->At(endpoint).held_off_until > now;
}

uint64_t State::EndpointIncarnation(EndpointHandle endpoint) const {
  return m_parts->At(endpoint).incarnation;
}

size_t State::EndpointCount() const {
  return m_parts->endpoints.Size();
}

uint32_t State::InFlight(EndpointHandle endpoint) const {
  return m_parts->At(endpoint).in_flight;
}

TimePoint State::NextTick(TimePoint now) const {
  return NextTickTime(*m_parts, now);
}

std::vector<EndpointChange> State::KnownEndpoints() const {
  std::vector<EndpointChange> endpoints;
  for (const auto& [name, known] : m_parts->feed.All()) {
    if (known.change.kind == EndpointChange::Kind::kGone)
      continue;
    endpoints.push_back(known.change);
    const Duration left = std::max(Duration::zero(), known.warmup_until - m_parts->last_tick);
    endpoints.back().warmup = std::chrono::ceil<std::chrono::milliseconds>(left);
  }
  return endpoints;
}

std::chrono::milliseconds State::EndpointsAge(TimePoint now) const {
  return std::chrono::ceil<std::chrono::milliseconds>(now - m_parts->feed.confirmed_at);
}

uint64_t State::EndpointsAsOf() const {
  return m_parts->feed.CompleteRevision(m_parts->last_tick);
}

std::vector<Member> State::ServingMembers() const {
  std::vector<Member> result;
  const TimePoint now = m_parts->last_tick;
  const bool keys_confirmed = AreKeysConfirmed(now);
  for (const Membership::Entry& entry : m_parts->members.All()) {
    const bool self = entry.member.name == m_parts->self.name;
    const bool leaving = self ? m_parts->self.leaving || !keys_confirmed : entry.member.leaving;
    const bool known = self || (m_parts->members.IsAlive(entry, now) && entry.member.incarnation != 0);
    if (known && !leaving)
      result.push_back(self ? m_parts->self : entry.member);
  }
  if (result.empty() && !m_parts->self.leaving)
    result.push_back(m_parts->self);
  return result;
}

std::vector<Member> State::MembersFor(std::string_view failure_domain) const {
  std::vector<Member> members = ServingMembers();
  const auto in_domain = [&](const Member& member) { return member.failure_domain == failure_domain; };
  if (static_cast<size_t>(std::count_if(members.begin(), members.end(), in_domain)) >= kMinSameDomainMembers)
    std::erase_if(members, [&](const Member& member) { return !in_domain(member); });
  if (members.size() > kMaxAddresses) {
    std::shuffle(members.begin(), members.end(), m_parts->random);
    members.resize(kMaxAddresses);
  }
  return members;
}

const Member& State::Self() const {
  return m_parts->self;
}

const CallerLimits& State::Limits() const {
  return m_parts->limits;
}

size_t State::PlanCount() const {
  return m_parts->plans.Size();
}

const PlanCounters& State::Totals(PlanHandle plan) const {
  return m_parts->At(plan).totals;
}

const HedgeCounters& State::Hedges(PlanHandle plan) const {
  return m_parts->At(plan).hedging.counters;
}

PlanCounters State::Recent(PlanHandle plan, std::chrono::seconds window, TimePoint now) const {
  const auto& history = m_parts->At(plan).history;
  return history == nullptr ? PlanCounters() : history->Sum(window, now);
}

size_t State::SeatsHeld(TimePoint now) const {
  size_t count = 0;
  for (uint32_t seat = 0; seat < ProbeSchedule::kSeatCount; ++seat)
    count += m_parts->probes.Holds(seat, now) ? 1 : 0;
  return count;
}

uint64_t State::ProbesSent() const {
  return m_parts->probes_sent;
}

const QuotaCounters& State::Quotas() const {
  return m_parts->quota.counters;
}

size_t State::QuotaShardsHeld() const {
  return m_parts->quota.shards.Size();
}

const std::vector<std::string>& State::EvacuatedDomains() const {
  return m_parts->evacuations.known.failure_domains;
}

uint64_t State::EvacuationsAsOf() const {
  return m_parts->evacuations.known.as_of;
}

uint64_t State::WarmupRefusals() const {
  return m_parts->warmup_refusals;
}

size_t State::RecordCount() const {
  return m_parts->records.Size();
}

size_t State::QuarantineCount() const {
  return m_parts->quarantine.Size();
}

size_t State::TableBytes() const {
  size_t bytes = m_parts->endpoints.Size() * (sizeof(EndpointState) + sizeof(Endpoint));
  bytes += m_parts->plans.Size() * sizeof(PlanState);
  for (const PlanState& plan : m_parts->plans.All()) {
    bytes += plan.history != nullptr ? sizeof(OutcomeHistory) : 0;
    for (const PlanBranch& branch : plan.branches)
      bytes += branch.own_candidates.size() * sizeof(EndpointHandle);
  }
  bytes += m_parts->services.size() * sizeof(ServiceState);
  for (const ServiceState& service : m_parts->services)
    bytes += service.common_candidates.size() * sizeof(EndpointHandle);
  bytes += m_parts->members.All().size() * sizeof(Membership::Entry);
  bytes += m_parts->records.Size() * sizeof(IdempotencyTable::Record);
  bytes += m_parts->accounts.Size() * sizeof(AccountState) + m_parts->quota.Bytes();
  return bytes;
}

}  // namespace sassafras
