#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "core/endpoint_change.h"
#include "core/member.h"

namespace sassafras {

/** The platform's store as a model: endpoints, a generation of plans and the roster, all under one revision. */
class FakeStore {
 public:
  /** What the store held at some moment. */
  struct Snapshot {
    uint64_t revision = 1;
    uint64_t generation = 1;
    std::map<std::string, EndpointChange> endpoints;
  };

  explicit FakeStore(TimePoint now) { SaveSnapshot(now); }

  const Snapshot& Latest() const { return m_latest; }
  /** What a reading shows that may lag by `lag`. */
  const Snapshot& SnapshotAt(TimePoint now, Duration lag) const;
  uint64_t NextGeneration(TimePoint now);
  void Put(EndpointChange entry, TimePoint now);
  void Remove(const std::string& name, TimePoint now);
  /** Changes of endpoints after a revision; false if they are forgotten. */
  bool ChangesAfter(uint64_t revision, std::vector<EndpointChange>& changes) const;
  /** Drops the history. */
  void CompactHistory();

  /** Writes the roster unless somebody else has since `revision`; returns whether it was written. */
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
