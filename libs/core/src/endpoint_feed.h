#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>

#include "base/clock.h"
#include "core/endpoint_change.h"

namespace sassafras {

/**
 * Endpoints as the platform's store lists them. Changes are ordered by the store's revision, whether they were read
 * from the store or received from a peer.
 */
class EndpointFeed {
 public:
  struct KnownEndpoint {
    EndpointChange change;
    TimePoint warmup_until{};
    /** When the entry that states `warmup_until` was received. */
    TimePoint warmup_reported_at{};
    /** Time until which an endpoint that is no longer listed is still used; max() while it is listed. */
    TimePoint gone_at = TimePoint::max();
    /** Revision at which the endpoint was no longer listed, and the last one at which it is known to have been. */
    uint64_t gone_revision = 0;
    uint64_t last_listed_revision = 0;
    /** Revision of an entry that was not applied because it may be outdated; 0 if none was. */
    uint64_t refused_revision = 0;
  };
  /** By name, so that every process visits the endpoints in the same order and a simulation can be repeated. */
  using Entries = absl::btree_map<std::string, KnownEndpoint>;

  /** Where a change comes from. */
  enum class Source : uint8_t {
    /** A write to the store. */
    kWrite,
    /** A listing of the store or of a peer, which also holds entries that were written long before. */
    kListing,
  };

  /**
   * Applies a change unless the same or a later revision of the endpoint is known.
   * @param removal_delay  how long an endpoint that is no longer listed is still used
   * @return whether the change has an effect now; false if it is delayed by `removal_delay`
   */
  bool Apply(const EndpointChange& change, Source source, Duration removal_delay, TimePoint now);
  /** Notes a revision that the store or a peer reports; returns whether it shows that the store was restored. */
  bool NoteRevision(uint64_t revision, TimePoint now);
  /** Whether revision `a` of the store is later than `b`. */
  bool IsLater(uint64_t a, uint64_t b) const;
  /** When all endpoints have to be read again because of a restore; TimePoint::max() for never. */
  TimePoint rereads_at = TimePoint::max();
  /** Removes all endpoints but `listed`, the complete listing as of a revision; appends new removals to `changes`. */
  void RemoveUnlisted(const std::vector<EndpointChange>& listed,
                      uint64_t as_of_revision,
                      Duration removal_delay,
                      TimePoint now,
                      std::vector<EndpointChange>& changes);
  /** Removes endpoints that are no longer listed and whose delay has passed, and returns them. */
  std::vector<EndpointChange> ExpireGone(TimePoint now);
  /** Whether endpoints that are no longer listed may still be in use. Digest() then covers these as well. */
  bool MayUseDroppedEndpoints(TimePoint now) const { return now <= m_last_gone_at; }
  /**
   * Revision as of which All() matches the store; lower than as_of while unlisted endpoints are still in use, or while
   * a listed one is not.
   */
  uint64_t CompleteRevision(TimePoint now) const;
  /** Time at which ExpireGone() next has work to do. */
  TimePoint NextExpiry() const { return m_next_expiry; }

  const Entries& All() const { return m_known; }
  /** Hash over the endpoints in use, with those whose removal is delayed; equal on instances that use the same ones. */
  uint64_t Digest() const { return m_digest; }

  /** Revision of the store as of which this instance knows the endpoints; 0 before the first read. */
  uint64_t as_of = 0;
  /** Latest time at which this instance or a peer confirmed the endpoints with the store. */
  TimePoint confirmed_at{};
  /** Time since which a peer is known to hold different endpoints; TimePoint() if none does. */
  TimePoint peer_differs_since{};
  /** Address of that peer, the digest of its endpoints, and when they were last confirmed with the store. */
  std::string differing_peer;
  uint64_t differing_digest = 0;
  TimePoint differing_confirmed_at{};
  /** Start of the last read, or an earlier time if the next read is due sooner than usual. */
  TimePoint last_read_at{};
  /** Time at which the store answered again after failed reads. */
  TimePoint store_recovered_at{};
  bool store_failing = false;
  uint32_t read_failures = 0;

 private:
  void ToggleInDigest(const EndpointChange& change);
  /** Takes over the warm-up that a renewed entry states; returns whether its end differs from what was known. */
  static bool RenewWarmup(KnownEndpoint& known, const EndpointChange& change, TimePoint now);
  /** Whether `change` is an entry that a restored store lists although the endpoint has left or is leaving since. */
  bool IsOutdatedEntry(const KnownEndpoint& known, const EndpointChange& change, Source source, TimePoint now) const;

  Entries m_known;
  /** Number of entries in `m_known` with a refused revision. */
  size_t m_refused_count = 0;
  /** Highest era of the store that is known; 0 if none is. */
  uint64_t m_era = 0;
  /** Until when a listing may still hold entries of endpoints that have ended before the store was restored. */
  TimePoint m_outdated_entries_until{};
  /** Latest gone_at of all delayed removals. */
  TimePoint m_last_gone_at{};
  uint64_t m_digest = 0;
  TimePoint m_next_expiry = TimePoint::max();
};

}  // namespace sassafras
