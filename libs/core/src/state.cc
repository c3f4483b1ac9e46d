#include "core/state.h"

#include <string>

#include "base/hash.h"
#include "core/plan_counters.h"
#include "core/state_options.h"
#include "dispatch.h"
#include "parts.h"

namespace sassafras {

Parts::Parts(const StateOptions& options_in)
    : options(options_in),
      random(options_in.random_seed),
      self_hash(Hash64(options_in.self.name)),
      self(options_in.self),
      records(options_in.record_limit, options_in.record_bytes) {
  members.Heard(self, options.start);
}

uint32_t Parts::EpochAt(TimePoint now) const {
  return static_cast<uint32_t>((now - options.start) / IdempotencyTable::kEpochLength);
}

State::State(const StateOptions& options) : m_parts(std::make_unique<Parts>(options)) {}

State::~State() = default;

Phase State::CurrentPhase() const {
  return m_parts->phase;
}

uint64_t State::Generation() const {
  return m_parts->lists.generation;
}

size_t State::CallsInProgress() const {
  return m_parts->calls.Size();
}

size_t State::CallsWaiting() const {
  return CountWaiting(*m_parts);
}

PlanHandle State::FindPlan(std::string_view method, std::string_view path) const {
  PlanHandle best;
  size_t best_length = 0;
  for (uint32_t index = 0; index < m_parts->plans.size(); ++index) {
    const PlanState& plan = m_parts->plans[index];
    const Plan& row = plan.row;
    const bool matches =
        plan.active && (row.method == "*" || row.method == method) && path.starts_with(row.path_prefix);
    // A plan for the very method goes before one for any method with the same prefix.
    const size_t length = 2 * row.path_prefix.size() + (row.method == "*" ? 0 : 1);
    if (matches && length > best_length) {
      best = PlanHandle(index);
      best_length = length;
    }
  }
  return best;
}

const Plan& State::PlanRow(PlanHandle plan) const {
  return m_parts->At(plan).row;
}

const Endpoint& State::EndpointRow(EndpointHandle endpoint) const {
  return m_parts->endpoints.Row(endpoint);
}

std::string_view State::ProbePath(EndpointHandle endpoint) const {
  return m_parts->At(m_parts->At(endpoint).service).row.probe_path;
}

bool State::IsLeaving(EndpointHandle endpoint) const {
  return m_parts->At(endpoint).leaving;
}

size_t State::EndpointCount() const {
  return m_parts->endpoints.Size();
}

uint32_t State::InFlight(EndpointHandle endpoint) const {
  return m_parts->At(endpoint).in_flight;
}

std::vector<Member> State::ServingMembers() const {
  std::vector<Member> result;
  const TimePoint now = m_parts->last_tick;
  for (const Membership::Entry& entry : m_parts->members.All()) {
    const bool self = entry.member.name == m_parts->self.name;
    const bool leaving = self ? m_parts->self.leaving : entry.member.leaving;
    const bool known = self || (m_parts->members.IsAlive(entry, now) && entry.member.incarnation != 0);
    if (known && !leaving)
      result.push_back(self ? m_parts->self : entry.member);
  }
  return result;
}

const Member& State::Self() const {
  return m_parts->self;
}

size_t State::PlanCount() const {
  return m_parts->plans.size();
}

const PlanCounters& State::Totals(PlanHandle plan) const {
  return m_parts->At(plan).totals;
}

PlanCounters State::Recent(PlanHandle plan, std::chrono::seconds window, TimePoint now) const {
  return m_parts->At(plan).ring->Sum(window, now);
}

size_t State::SeatsHeld(TimePoint now) const {
  size_t count = 0;
  for (uint32_t seat = 0; seat < ProbeSchedule::kSeats; ++seat)
    count += m_parts->probes.Holds(seat, now) ? 1 : 0;
  return count;
}

uint64_t State::ProbesSent() const {
  return m_parts->probes_sent;
}

size_t State::RecordCount() const {
  return m_parts->records.Size();
}

size_t State::QuarantineCount() const {
  return m_parts->quarantine.Size();
}

size_t State::TableBytes() const {
  size_t bytes = m_parts->endpoints.Size() * (sizeof(EndpointState) + sizeof(Endpoint));
  bytes += m_parts->plans.size() * (sizeof(PlanState) + sizeof(BurnRing));
  for (const PlanState& plan : m_parts->plans)
    bytes += plan.candidates.size() * sizeof(EndpointHandle);
  bytes += m_parts->services.size() * sizeof(ServiceState);
  bytes += m_parts->members.All().size() * sizeof(Membership::Entry);
  bytes += m_parts->records.Size() * sizeof(IdempotencyTable::Record);
  return bytes;
}

}  // namespace sassafras
