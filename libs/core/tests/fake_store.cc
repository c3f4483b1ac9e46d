#include "fake_store.h"

#include <algorithm>

namespace sassafras {

const FakeStore::Content& FakeStore::AsOf(TimePoint now, Duration lag) const {
  const auto later =
      std::find_if(m_past.begin(), m_past.end(), [&](const auto& moment) { return moment.first > now - lag; });
  return later == m_past.begin() ? m_past.front().second : std::prev(later)->second;
}

void FakeStore::Remember(TimePoint now) {
  m_past.emplace_back(now, m_content);
  constexpr size_t kKept = 64;
  if (m_past.size() > kKept)
    m_past.erase(m_past.begin());
}

uint64_t FakeStore::NextGeneration(TimePoint now) {
  ++m_content.revision;
  ++m_content.generation;
  Remember(now);
  return m_content.generation;
}

void FakeStore::Put(EndpointChange entry, TimePoint now) {
  entry.revision = ++m_content.revision;
  m_history.push_back(entry);
  m_content.endpoints[entry.row.name] = std::move(entry);
  Remember(now);
}

void FakeStore::Remove(const std::string& name, TimePoint now) {
  if (m_content.endpoints.erase(name) == 0)
    return;
  EndpointChange gone;
  gone.kind = EndpointChange::Kind::kGone;
  gone.row.name = name;
  gone.revision = ++m_content.revision;
  m_history.push_back(gone);
  Remember(now);
}

bool FakeStore::ChangesAfter(uint64_t revision, std::vector<EndpointChange>& changes) const {
  if (revision < m_forgotten)
    return false;
  for (const EndpointChange& change : m_history) {
    if (change.revision > revision)
      changes.push_back(change);
  }
  return true;
}

void FakeStore::Forget() {
  m_history.clear();
  m_forgotten = m_content.revision;
}

bool FakeStore::WriteRoster(const std::vector<Member>& members, uint64_t revision) {
  if (revision != roster_revision)
    return false;
  roster = members;
  roster_revision = ++m_content.revision;
  return true;
}

}  // namespace sassafras
