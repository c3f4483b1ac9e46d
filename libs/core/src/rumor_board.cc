#include "rumor_board.h"

#include <algorithm>

#include "base/hash.h"

namespace sassafras {

using std::chrono::milliseconds;

bool RumorBoard::Add(const GossipMessage::Rumor& rumor, TimePoint now) {
  const TimePoint expires_at = now + rumor.lifetime;
  const auto known = std::find_if(m_rumors.begin(), m_rumors.end(), [&](const Entry& entry) {
    return entry.rumor.kind == rumor.kind && entry.rumor.subject == rumor.subject && entry.rumor.detail == rumor.detail;
  });
  if (known != m_rumors.end() || rumor.lifetime <= milliseconds::zero())
    return false;
  if (m_rumors.size() >= kMaxRumors) {
    const auto first_to_expire = std::min_element(
        m_rumors.begin(), m_rumors.end(), [](const Entry& a, const Entry& b) { return a.expires_at < b.expires_at; });
    m_rumors.erase(first_to_expire);
  }
  m_rumors.push_back({rumor, expires_at, kEagerSends});
  return true;
}

void RumorBoard::Append(const Entry& entry, TimePoint now, std::vector<GossipMessage::Rumor>& out) {
  GossipMessage::Rumor rumor = entry.rumor;
  rumor.lifetime = std::chrono::duration_cast<milliseconds>(entry.expires_at - now);
  if (rumor.lifetime > milliseconds::zero())
    out.push_back(rumor);
}

void RumorBoard::Pick(size_t count, TimePoint now, std::mt19937_64& random, std::vector<GossipMessage::Rumor>& out) {
  const size_t limit = out.size() + count;
  for (Entry& entry : m_rumors) {
    if (out.size() == limit)
      return;
    if (entry.eager_sends == 0)
      continue;
    --entry.eager_sends;
    Append(entry, now, out);
  }
  if (m_rumors.empty())
    return;
  // One random rumor per message also reaches instances that were disconnected while it was sent eagerly.
  Append(m_rumors[random() % m_rumors.size()], now, out);
}

void RumorBoard::CopyNewest(size_t first, size_t count, TimePoint now, std::vector<GossipMessage::Rumor>& out) const {
  const size_t end = std::min(m_rumors.size(), first + count);
  for (size_t i = first; i < end; ++i)
    Append(m_rumors[m_rumors.size() - 1 - i], now, out);
}

uint64_t RumorBoard::LeavingDigest() const {
  using Kind = GossipMessage::Rumor::Kind;
  uint64_t digest = 0;
  for (const Entry& entry : m_rumors) {
    const GossipMessage::Rumor& rumor = entry.rumor;
    if (rumor.kind == Kind::kLeaving || rumor.kind == Kind::kReturned)
      digest ^= HashCombine(HashCombine(static_cast<uint64_t>(rumor.kind) + 1, rumor.subject), rumor.detail);
  }
  return digest;
}

void RumorBoard::Expire(TimePoint now) {
  std::erase_if(m_rumors, [now](const Entry& entry) { return entry.expires_at <= now; });
}

}  // namespace sassafras
