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
  entry.learned_at = now;
  entry.heard_at = now;
}

void Membership::Advance(Entry& entry, uint32_t heartbeat, TimePoint now) {
  if (heartbeat <= entry.member.heartbeat)
    return;
  entry.member.heartbeat = heartbeat;
  entry.heard_at = now;
}

void Membership::HeardHeartbeat(uint32_t id, uint32_t heartbeat, TimePoint now) {
  const auto found =
      std::find_if(m_entries.begin(), m_entries.end(), [id](const Entry& entry) { return entry.heartbeat_id == id; });
  if (found != m_entries.end())
    Advance(*found, heartbeat, now);
}

void Membership::Heard(const Member& member, TimePoint now) {
  Entry& entry = FindOrAdd(member, now);
  Member& known = entry.member;
  // The wall clock that numbers incarnations may have been set back: one that is heard while the other is silent
  // counts.
  if (member.incarnation < known.incarnation && IsAlive(entry, now))
    return;
  if (member.incarnation != known.incarnation) {
    SetIdentity(entry, member, now);
    return;
  }
  // Leaving is final for an incarnation, whatever order messages arrive in.
  known.leaving = known.leaving || member.leaving;
  known.epoch = std::max(known.epoch, member.epoch);
  if (member.heartbeat > known.heartbeat)
    known.store_reachable = member.store_reachable;
  Advance(entry, member.heartbeat, now);
}

bool Membership::NoteReaching(std::string_view name, bool reaching, uint32_t heartbeat) {
  for (Entry& entry : m_entries) {
    const bool newer = entry.member.name == name && heartbeat >= entry.member.heartbeat;
    if (!newer || entry.member.store_reachable == reaching)
      continue;
    entry.member.store_reachable = reaching;
    return true;
  }
  return false;
}

void Membership::Listed(const std::vector<Member>& members, bool whole, TimePoint now) {
  for (Entry& entry : m_entries)
    entry.listed = entry.listed && !whole;
  for (const Member& member : members) {
    Entry& entry = FindOrAdd(member, now);
    entry.listed = true;
    // The list lags: its mark counts once, for the incarnation known when it appears.
    if (member.leaving && !entry.listed_leaving)
      entry.member.leaving = true;
    entry.listed_leaving = member.leaving;
  }
}

void Membership::Expire(TimePoint now) {
  std::erase_if(m_entries, [now](const Entry& entry) { return !entry.listed && now - entry.heard_at > kForgetAfter; });
}

void Membership::AddPause(Duration pause) {
  for (Entry& entry : m_entries)
    entry.heard_at += pause;
}

void Membership::LearnHeartbeatAge(TimePoint now) {
  constexpr int kWeightParts = 4;
  /** How many times the usual age a heartbeat may have. */
  constexpr int kPatience = 5;
  Duration sum{};
  int count = 0;
  for (const Entry& entry : m_entries) {
    if (now - entry.heard_at >= kSilentMost)
      continue;
    sum += now - entry.heard_at;
    ++count;
  }
  if (count == 0)
    return;
  m_usual_age += (sum / count - m_usual_age) / kWeightParts;
  m_silent_after = std::clamp<Duration>(m_usual_age * kPatience, kSilentLeast, kSilentMost);
}

std::vector<std::string> Membership::TakeChanged(bool alive, TimePoint now) {
  std::vector<std::string> names;
  for (Entry& entry : m_entries) {
    if (IsAlive(entry, now) != alive || entry.told_alive == alive)
      continue;
    entry.told_alive = alive;
    names.push_back(entry.member.name);
  }
  return names;
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

size_t Membership::RankFor(uint64_t purpose, uint64_t self_hash, TimePoint now) const {
  const uint64_t own = HashCombine(purpose, self_hash);
  return static_cast<size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](const Entry& entry) {
    return IsAlive(entry, now) && !entry.member.leaving && HashCombine(purpose, entry.name_hash) < own;
  }));
}

size_t Membership::RankForReaching(uint64_t purpose, uint64_t self_hash, TimePoint now, std::string_view domain) const {
  const auto self = std::find_if(m_entries.begin(), m_entries.end(),
                                 [&](const Entry& entry) { return entry.name_hash == self_hash; });
  const bool reaching = self == m_entries.end() || self->member.store_reachable;
  const uint64_t own = HashCombine(purpose, self_hash);
  return static_cast<size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](const Entry& entry) {
    if (!IsAlive(entry, now) || entry.member.leaving || entry.name_hash == self_hash)
      return false;
    if (!domain.empty() && entry.member.failure_domain != domain)
      return false;
    if (entry.member.store_reachable != reaching)
      return entry.member.store_reachable;
    return HashCombine(purpose, entry.name_hash) < own;
  }));
}

}  // namespace sassafras
