#include "fake_store.h"

#include <algorithm>

namespace sassafras {

const FakeStore::Snapshot& FakeStore::SnapshotAt(TimePoint now, Duration lag) const {
  const auto first_newer = std::find_if(m_snapshots.begin(), m_snapshots.end(),
                                        [&](const auto& snapshot) { return snapshot.first > now - lag; });
  return first_newer == m_snapshots.begin() ? m_snapshots.front().second : std::prev(first_newer)->second;
}

void FakeStore::SaveSnapshot(TimePoint now) {
  m_snapshots.emplace_back(now, m_latest);
  constexpr size_t kMaxSnapshots = 64;
  if (m_snapshots.size() > kMaxSnapshots)
    m_snapshots.erase(m_snapshots.begin());
}

uint64_t FakeStore::NextGeneration(TimePoint now) {
  m_latest.operator_revision = ++m_latest.revision;
  ++m_latest.generation;
  SaveSnapshot(now);
  return m_latest.generation;
}

void FakeStore::SetEvacuated(const std::string& domain, bool evacuated, TimePoint now) {
  const bool changed =
      evacuated ? m_latest.evacuated_domains.insert(domain).second : m_latest.evacuated_domains.erase(domain) > 0;
  if (!changed)
    return;
  m_latest.operator_revision = ++m_latest.revision;
  SaveSnapshot(now);
}

void FakeStore::Put(EndpointChange entry, TimePoint now) {
  entry.revision = ++m_latest.revision;
  m_changes.push_back(entry);
  m_latest.endpoints[entry.row.name] = std::move(entry);
  SaveSnapshot(now);
}

void FakeStore::Remove(const std::string& name, TimePoint now) {
  if (m_latest.endpoints.erase(name) == 0)
    return;
  EndpointChange gone;
  gone.kind = EndpointChange::Kind::kGone;
  gone.row.name = name;
  gone.revision = ++m_latest.revision;
  m_changes.push_back(gone);
  SaveSnapshot(now);
}

void FakeStore::Restore(TimePoint now, Duration age) {
  const uint64_t era = EraOf(m_latest.revision) + 1;
  m_latest = SnapshotAt(now, age);
  m_latest.revision = MakeStoreRevision(era, RevisionNumber(m_latest.revision));
  for (auto& [name, endpoint] : m_latest.endpoints)
    endpoint.revision = MakeStoreRevision(era, RevisionNumber(endpoint.revision));
  CompactHistory();
  roster.clear();
  roster_revision = 0;
  SaveSnapshot(now);
}

bool FakeStore::ChangesAfter(uint64_t revision, std::vector<EndpointChange>& changes) const {
  if (revision < m_compacted_revision)
    return false;
  for (const EndpointChange& change : m_changes) {
    if (change.revision > revision)
      changes.push_back(change);
  }
  return true;
}

void FakeStore::CompactHistory() {
  m_changes.clear();
  m_compacted_revision = m_latest.revision;
}

bool FakeStore::WriteRoster(const std::vector<Member>& members, uint64_t revision) {
  if (revision != roster_revision)
    return false;
  roster = members;
  roster_revision = ++m_latest.revision;
  return true;
}

}  // namespace sassafras
