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
  struct Content {
    uint64_t revision = 1;
    uint64_t generation = 1;
    std::map<std::string, EndpointChange> endpoints;
  };

  explicit FakeStore(TimePoint now) { Remember(now); }

  const Content& Latest() const { return m_content; }
  /** What a reading shows that may lag by `lag`. */
  const Content& AsOf(TimePoint now, Duration lag) const;
  uint64_t NextGeneration(TimePoint now);
  void Put(EndpointChange entry, TimePoint now);
  void Remove(const std::string& name, TimePoint now);
  /** Changes of endpoints after a revision; false if they are forgotten. */
  bool ChangesAfter(uint64_t revision, std::vector<EndpointChange>& changes) const;
  /** Drops the history. */
  void Forget();

  /** Writes the roster unless somebody else has since `revision`; returns whether it was written. */
  bool WriteRoster(const std::vector<Member>& members, uint64_t revision);

  std::vector<Member> roster;
  uint64_t roster_revision = 0;

 private:
  void Remember(TimePoint now);

  Content m_content;
  std::vector<std::pair<TimePoint, Content>> m_past;
  std::vector<EndpointChange> m_history;
  uint64_t m_forgotten = 0;
};

}  // namespace sassafras
