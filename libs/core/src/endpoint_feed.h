#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/clock.h"
#include "core/endpoint_change.h"

namespace sassafras {

/** Endpoints as the platform's store lists them. The store's order of changes decides, whoever passed them on. */
class EndpointFeed {
 public:
  struct KnownEndpoint {
    EndpointChange change;
    TimePoint warmup_until{};
    /** When an entry that the store dropped counts as gone; the endpoint is used until then. */
    TimePoint gone_at = TimePoint::max();
    /** Revision at which the store had dropped it, and the last one at which it is known to have listed it. */
    uint64_t gone_revision = 0;
    uint64_t last_listed_revision = 0;
  };

  /**
   * Takes in a change unless a later one is known.
   * @param gone_delay  how long an endpoint that is no longer listed is still used
   * @return whether it says anything new that holds from now on
   */
  bool Apply(const EndpointChange& change, Duration gone_delay, TimePoint now);
  /** Takes in that the store lists only `listed` as of a revision; appends what is new to `news`. */
  void RemoveUnlisted(const std::vector<EndpointChange>& listed,
                      uint64_t as_of_revision,
                      Duration gone_delay,
                      TimePoint now,
                      std::vector<EndpointChange>& changes);
  /** Ends the use of endpoints whose time has come, and returns them. */
  std::vector<EndpointChange> ExpireGone(TimePoint now);
  /** Whether an entry that the store dropped may still be in use: then the digest tells of more than the store lists.
   */
  bool MayHoldDropped(TimePoint now) const { return now <= m_last_gone_at; }
  /** Revision up to which All() is what the store lists; lower than as_of while dropped entries are still in use. */
  uint64_t CompleteRevision(TimePoint now) const;
  /** When ExpireGone() next has something to do. */
  TimePoint NextExpiry() const { return m_next_expiry; }

  const absl::flat_hash_map<std::string, KnownEndpoint>& All() const { return m_known; }
  /** Hash over what is listed; the same on instances that know the same. */
  uint64_t Digest() const { return m_digest; }

  /** Revision of the store up to which this instance knows the endpoints; 0 before the first reading. */
  uint64_t as_of = 0;
  /** Newest proof, seen here or by a peer, of what the store lists. */
  TimePoint confirmed_at{};
  /** Since when a peer is known to hold other endpoints; TimePoint() if none does. */
  TimePoint peer_differs_since{};
  /** Where that peer is asked. */
  std::string differing_peer;
  TimePoint last_read_at{};
  /** When the store answered again after it had not. */
  TimePoint store_recovered_at{};
  bool store_failing = false;
  uint32_t read_failures = 0;

 private:
  void ToggleInDigest(const EndpointChange& change);
  absl::flat_hash_map<std::string, KnownEndpoint> m_known;
  /** Latest time at which an entry that is still in use counts as gone. */
  TimePoint m_last_gone_at{};
  uint64_t m_digest = 0;
  TimePoint m_next_expiry = TimePoint::max();
};

}  // namespace sassafras
