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
  entry.member = member;
  entry.name_hash = Hash64(member.name);
  entry.heard_at = now;
  return entry;
}

void Membership::Heard(const Member& member, TimePoint now) {
  Entry& entry = FindOrAdd(member, now);
  Member& known = entry.member;
  if (member.incarnation < known.incarnation)
    return;
  if (member.incarnation > known.incarnation) {
    known = member;
    entry.heard_at = now;
    return;
  }
  // Leaving is final for an incarnation, whatever order messages arrive in.
  known.leaving = known.leaving || member.leaving;
  if (member.heartbeat <= known.heartbeat)
    return;
  known.heartbeat = member.heartbeat;
  known.epoch = std::max(known.epoch, member.epoch);
  entry.heard_at = now;
}

void Membership::Listed(const std::vector<Member>& members, TimePoint now) {
  for (Entry& entry : m_entries)
    entry.listed = false;
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

}  // namespace sassafras
