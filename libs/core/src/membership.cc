#include "membership.h"

#include <algorithm>

#include "base/hash.h"

namespace sassafras {

Membership::Entry& Membership::FindOrAdd(const Member& member, TimePoint now) {
  for (Entry& entry : m_entries) {
    if (entry.member.name == member.name)
      return entry;
  }
  Entry& entry = m_entries.emplace_back();
  SetIdentity(entry, member, now);
  return entry;
}

void Membership::SetIdentity(Entry& entry, const Member& member, TimePoint now) {
  entry.member = member;
  entry.name_hash = Hash64(member.name);
  entry.heartbeat_id = static_cast<uint32_t>(HashCombine(entry.name_hash, member.incarnation));
  entry.changed_at = now;
  entry.heard_at = now;
}

void Membership::AdvanceHeartbeat(Entry& entry, uint32_t heartbeat, TimePoint now) {
  if (heartbeat <= entry.member.heartbeat)
    return;
  entry.member.heartbeat = heartbeat;
  entry.heard_at = now;
}

void Membership::MergeHeartbeat(uint32_t id, uint32_t heartbeat, TimePoint now) {
  const auto found =
      std::find_if(m_entries.begin(), m_entries.end(), [id](const Entry& entry) { return entry.heartbeat_id == id; });
  if (found != m_entries.end())
    AdvanceHeartbeat(*found, heartbeat, now);
}

void Membership::MergeMember(const Member& member, TimePoint now) {
  Entry& entry = FindOrAdd(member, now);
  Member& known = entry.member;
  // Incarnations come from the wall clock, which may have been set back: a lower incarnation is accepted while the
  // known one is silent.
  if (member.incarnation < known.incarnation && IsAlive(entry, now))
    return;
  if (member.incarnation != known.incarnation) {
    SetIdentity(entry, member, now);
    return;
  }
  // Leaving is final for an incarnation, even if messages arrive out of order.
  if (member.leaving && !known.leaving)
    entry.changed_at = now;
  known.leaving = known.leaving || member.leaving;
  known.epoch = std::max(known.epoch, member.epoch);
  if (member.heartbeat > known.heartbeat)
    known.store_reachable = member.store_reachable;
  AdvanceHeartbeat(entry, member.heartbeat, now);
}

bool Membership::UpdateStoreReachable(std::string_view name, bool reachable, uint32_t heartbeat) {
  for (Entry& entry : m_entries) {
    const bool newer = entry.member.name == name && heartbeat >= entry.member.heartbeat;
    if (!newer || entry.member.store_reachable == reachable)
      continue;
    entry.member.store_reachable = reachable;
    return true;
  }
  return false;
}

void Membership::ApplyListing(const std::vector<Member>& members, bool whole, TimePoint now) {
  for (Entry& entry : m_entries)
    entry.listed = entry.listed && !whole;
  for (const Member& member : members) {
    Entry& entry = FindOrAdd(member, now);
    entry.listed = true;
    // The directory lags, so its leaving mark is applied only once, to the incarnation known when the mark appears.
    if (member.leaving && !entry.listed_leaving)
      entry.member.leaving = true;
    entry.listed_leaving = member.leaving;
  }
}

void Membership::Expire(TimePoint now) {
  std::erase_if(m_entries,
                [now](const Entry& entry) { return !entry.listed && now - entry.heard_at > kForgetTimeout; });
}

void Membership::ExcludePause(Duration pause) {
  for (Entry& entry : m_entries)
    entry.heard_at += pause;
}

void Membership::UpdateSilentTimeout(TimePoint now) {
  constexpr int kSmoothingDivisor = 4;
  /** The silent timeout as a multiple of the mean age of heartbeats. */
  constexpr int kTimeoutMultiple = 5;
  Duration sum{};
  int count = 0;
  for (const Entry& entry : m_entries) {
    if (now - entry.heard_at >= kMaxSilentTimeout)
      continue;
    sum += now - entry.heard_at;
    ++count;
  }
  if (count == 0)
    return;
  m_mean_heartbeat_age += (sum / count - m_mean_heartbeat_age) / kSmoothingDivisor;
  m_silent_timeout =
      std::clamp<Duration>(m_mean_heartbeat_age * kTimeoutMultiple, kMinSilentTimeout, kMaxSilentTimeout);
}

std::vector<std::string> Membership::TakeLivenessChanges(bool alive, TimePoint now) {
  std::vector<std::string> names;
  for (Entry& entry : m_entries) {
    if (IsAlive(entry, now) != alive || entry.logged_alive == alive)
      continue;
    entry.logged_alive = alive;
    names.push_back(entry.member.name);
  }
  return names;
}

bool Membership::IsLeaving(const Member& member) const {
  const Entry* entry = Find(member.name);
  return entry != nullptr && entry->member.leaving && entry->member.incarnation == member.incarnation;
}

const Membership::Entry* Membership::Find(std::string_view name) const {
  const auto found = std::find_if(m_entries.begin(), m_entries.end(),
                                  [name](const Entry& entry) { return entry.member.name == name; });
  return found == m_entries.end() ? nullptr : &*found;
}

size_t Membership::CountServing(TimePoint now) const {
  return static_cast<size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](const Entry& entry) {
    return IsAlive(entry, now) && !entry.member.leaving;
  }));
}

size_t Membership::RankFor(uint64_t seed, uint64_t self_hash, TimePoint now) const {
  const uint64_t own = HashCombine(seed, self_hash);
  return static_cast<size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](const Entry& entry) {
    return IsAlive(entry, now) && !entry.member.leaving && HashCombine(seed, entry.name_hash) < own;
  }));
}

std::array<const Membership::Entry*, 2> Membership::FirstTwoFor(uint64_t seed, TimePoint now) const {
  std::array<const Entry*, 2> first{};
  std::array<uint64_t, 2> hashes{};
  for (const Entry& entry : m_entries) {
    if (!IsAlive(entry, now) || entry.member.leaving)
      continue;
    const uint64_t hash = HashCombine(seed, entry.name_hash);
    if (first[0] == nullptr || hash < hashes[0]) {
      first = {&entry, first[0]};
      hashes = {hash, hashes[0]};
    } else if (first[1] == nullptr || hash < hashes[1]) {
      first[1] = &entry;
      hashes[1] = hash;
    }
  }
  return first;
}

size_t Membership::RankPreferringReachable(uint64_t seed,
                                           uint64_t self_hash,
                                           TimePoint now,
                                           std::string_view domain) const {
  const auto self = std::find_if(m_entries.begin(), m_entries.end(),
                                 [&](const Entry& entry) { return entry.name_hash == self_hash; });
  const bool reachable = self == m_entries.end() || self->member.store_reachable;
  const uint64_t own = HashCombine(seed, self_hash);
  return static_cast<size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](const Entry& entry) {
    if (!IsAlive(entry, now) || entry.member.leaving || entry.name_hash == self_hash)
      return false;
    if (!domain.empty() && entry.member.failure_domain != domain)
      return false;
    if (entry.member.store_reachable != reachable)
      return entry.member.store_reachable;
    return HashCombine(seed, entry.name_hash) < own;
  }));
}

}  // namespace sassafras
