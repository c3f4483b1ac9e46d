#include "quarantine.h"

#include <algorithm>

namespace sassafras {

Quarantine::Change Quarantine::RecordBrokenConnection(uint64_t fingerprint, uint64_t endpoint, TimePoint now) {
  if (WasRecentlyAnswered(fingerprint, now))
    return Change::kNone;
  if (!m_suspects.contains(fingerprint) && m_suspects.size() >= kMaxSuspects)
    return Change::kNone;
  Suspicion& suspicion = m_suspects[fingerprint];
  suspicion.until = now + kSuspectLifetime;
  const auto end = suspicion.endpoints.begin() + static_cast<std::ptrdiff_t>(suspicion.count);
  if (std::find(suspicion.endpoints.begin(), end, endpoint) != end)
    return Change::kNone;
  if (suspicion.count < kEndpointsToQuarantine)
    suspicion.endpoints[suspicion.count++] = endpoint;
  if (suspicion.count < kEndpointsToQuarantine)
    return Change::kNewSuspicion;
  return Add(fingerprint, now + kQuarantineLifetime, now) ? Change::kQuarantined : Change::kNone;
}

bool Quarantine::WasRecentlyAnswered(uint64_t fingerprint, TimePoint now) const {
  const RecentAnswer& recent = m_recent_answers[fingerprint % kRecentAnswerSlots];
  return recent.fingerprint == fingerprint && now < recent.until;
}

void Quarantine::RecordAnswer(uint64_t fingerprint, TimePoint now) {
  m_recent_answers[fingerprint % kRecentAnswerSlots] = {fingerprint, now + kRecentAnswerLifetime};
  if (!m_suspects.empty())
    m_suspects.erase(fingerprint);
  if (!m_quarantined.empty())
    m_quarantined.erase(fingerprint);
}

bool Quarantine::Add(uint64_t fingerprint, TimePoint until, TimePoint now) {
  if (m_quarantined.size() >= kMaxQuarantined || WasRecentlyAnswered(fingerprint, now))
    return false;
  return m_quarantined.emplace(fingerprint, until).second;
}

bool Quarantine::IsQuarantined(uint64_t fingerprint, TimePoint now) const {
  if (m_quarantined.empty())
    return false;
  const auto found = m_quarantined.find(fingerprint);
  return found != m_quarantined.end() && found->second > now;
}

void Quarantine::Expire(TimePoint now) {
  absl::erase_if(m_suspects, [now](const auto& entry) { return entry.second.until <= now; });
  absl::erase_if(m_quarantined, [now](const auto& entry) { return entry.second <= now; });
}

}  // namespace sassafras
