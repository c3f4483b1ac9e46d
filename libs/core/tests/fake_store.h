#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "core/endpoint_change.h"
#include "core/member.h"
#include "core/store_revision.h"

namespace sassafras {

/** Model of the platform's store: endpoints, the generation of the plans, evacuations and the roster, under one
 * revision counter. */
class FakeStore {
 public:
  /** Endpoints and generation at one revision. */
  struct Snapshot {
    uint64_t revision = MakeStoreRevision(1, 1);
    uint64_t generation = 1;
    std::map<std::string, EndpointChange> endpoints;
    std::set<std::string> evacuated_domains;
    /** Revision of the latest change of the generation or of the evacuated domains. */
    uint64_t operator_revision = revision;
  };

  explicit FakeStore(TimePoint now) { SaveSnapshot(now); }

  const Snapshot& Latest() const { return m_latest; }
  /** What a read that lags by `lag` returns at `now`. */
  const Snapshot& SnapshotAt(TimePoint now, Duration lag) const;
  uint64_t NextGeneration(TimePoint now);
  void SetEvacuated(const std::string& domain, bool evacuated, TimePoint now);
  void Put(EndpointChange entry, TimePoint now);
  void Remove(const std::string& name, TimePoint now);
  /** Appends the endpoint changes after `revision` to `changes`; returns false if they have been compacted. */
  bool ChangesAfter(uint64_t revision, std::vector<EndpointChange>& changes) const;
  /** Drops the change history up to the current revision. */
  void CompactHistory();

  /** Restores the endpoints, the plans and the revision from a copy that is `age` old; the roster is lost. */
  void Restore(TimePoint now, Duration age);

  /** Writes the roster if it is still at `revision`; returns whether it was written. */
  bool WriteRoster(const std::vector<Member>& members, uint64_t revision);

  std::vector<Member> roster;
  uint64_t roster_revision = 0;

 private:
  void SaveSnapshot(TimePoint now);

  Snapshot m_latest;
  std::vector<std::pair<TimePoint, Snapshot>> m_snapshots;
  std::vector<EndpointChange> m_changes;
  uint64_t m_compacted_revision = 0;
};

}  // namespace sassafras
