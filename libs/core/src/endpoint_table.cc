#include "endpoint_table.h"

#include <algorithm>
#include <chrono>

#include "base/hash.h"

namespace sassafras {
namespace {

/** Time for which the table position of an endpoint that is no longer listed is not reused. */
constexpr std::chrono::seconds kReclaimDelay{30};
/** Time for which the leaving mark of an endpoint without a table position is kept. */
constexpr std::chrono::minutes kLeavingMarkRetention{10};

}  // namespace

EndpointHandle EndpointTable::Upsert(const Endpoint& listing, ServiceHandle service, TimePoint now, bool start_ramp) {
  const uint64_t name_hash = Hash64(listing.name);
  EndpointHandle handle = FindByHash(name_hash);
  // At a new address it is another endpoint: nothing learned about the old one applies.
  const bool moved = handle.IsValid() && Listing(handle).address != listing.address;
  if (moved) {
    m_by_hash.erase(name_hash);
    KeepLeavingMark(m_states[handle.Index()], now);
    m_states[handle.Index()].name_hash = 0;
    handle = EndpointHandle();
  }
  if (!handle.IsValid()) {
    if (m_free.empty()) {
      handle = EndpointHandle(static_cast<uint32_t>(m_states.size()));
      m_states.emplace_back();
      m_listings.emplace_back();
    } else {
      handle = m_free.back();
      m_free.pop_back();
      m_states[handle.Index()] = EndpointState();
    }
    m_by_hash.emplace(name_hash, handle);
    EndpointState& state = m_states[handle.Index()];
    state.name_hash = name_hash;
    if (start_ramp)
      state.ramp_start = now;
  }
  EndpointState& state = m_states[handle.Index()];
  state.active = true;
  state.slots = listing.slots;
  state.service = service;
  m_listings[handle.Index()] = listing;
  return handle;
}

void EndpointTable::DeactivateAll(TimePoint now) {
  for (EndpointState& state : m_states) {
    if (state.active)
      state.inactive_since = now;
    state.active = false;
  }
}

void EndpointTable::ReclaimInactive(TimePoint now) {
  for (uint32_t index = 0; index < m_states.size(); ++index) {
    EndpointState& state = m_states[index];
    const bool unused = state.in_flight == 0 && state.held_off_until <= now;
    const bool retired = !state.active && unused && state.service.IsValid();
    // Calls that have recently probed or tried the endpoint still hold its handle.
    if (!retired || now - state.inactive_since < kReclaimDelay)
      continue;
    if (state.name_hash != 0) {
      m_by_hash.erase(state.name_hash);
      KeepLeavingMark(state, now);
    }
    state = EndpointState();
    m_free.emplace_back(index);
  }
  absl::erase_if(m_unlisted_leaving,
                 [now](const auto& entry) { return now - entry.second.recorded_at >= kLeavingMarkRetention; });
}

void EndpointTable::MarkUnlistedLeaving(uint64_t name_hash, uint64_t incarnation, TimePoint now) {
  UnlistedLeaving& mark = m_unlisted_leaving[name_hash];
  if (incarnation < mark.incarnation)
    return;
  mark.incarnation = incarnation;
  mark.recorded_at = now;
}

void EndpointTable::KeepLeavingMark(const EndpointState& state, TimePoint now) {
  // A mark without an incarnation cannot be told from one of the endpoint's next process.
  if (state.HasLeavingMark() && state.leaving_incarnation != 0)
    MarkUnlistedLeaving(state.name_hash, state.leaving_incarnation, now);
}

void EndpointTable::RestoreLeavingMark(EndpointHandle handle) {
  const auto found = m_unlisted_leaving.find(m_states[handle.Index()].name_hash);
  if (found == m_unlisted_leaving.end())
    return;
  MarkLeaving(handle, found->second.incarnation);
  m_unlisted_leaving.erase(found);
}

EndpointHandle EndpointTable::FindByHash(uint64_t name_hash) const {
  const auto found = m_by_hash.find(name_hash);
  return found == m_by_hash.end() ? EndpointHandle() : found->second;
}

bool EndpointTable::MarkLeaving(EndpointHandle handle, uint64_t incarnation) {
  EndpointState& state = m_states[handle.Index()];
  const uint64_t leaving = incarnation == 0 ? state.incarnation : incarnation;
  if (leaving < state.incarnation)
    return false;
  const bool is_new = !state.leaving || leaving > state.leaving_incarnation;
  state.leaving = true;
  state.leaving_marked = true;
  state.leaving_incarnation = std::max(state.leaving_incarnation, leaving);
  state.incarnation = std::max(state.incarnation, leaving);
  return is_new;
}

bool EndpointTable::RecordIncarnation(EndpointHandle handle, uint64_t incarnation, TimePoint now) {
  EndpointState& state = m_states[handle.Index()];
  if (incarnation <= state.incarnation)
    return false;
  // The first incarnation seen of an endpoint is not a restart.
  const bool restarted = state.incarnation != 0;
  state.incarnation = incarnation;
  if (!restarted)
    return false;
  const bool was_leaving = state.leaving;
  state.leaving = false;
  state.leaving_marked = false;
  state.ramp_start = now;
  state.consecutive_failures = 0;
  state.ejected_until = {};
  state.held_off_until = {};
  state.latency_us = 0;
  state.states_warmup = false;
  state.warmup_stated_at = {};
  return was_leaving;
}

void EndpointTable::ApplyReport(EndpointHandle handle, const LoadReport& report, TimePoint now) {
  if (!report.present)
    return;
  EndpointState& state = m_states[handle.Index()];
  state.reported_in_flight = report.in_flight;
  state.slowdown = report.slowdown;
  state.own_in_flight_at_report = state.in_flight;
  state.reported_at = now;
}

}  // namespace sassafras
