#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "base/clock.h"
#include "core/gossip_message.h"

namespace sassafras {

/** Rumors to spread. Each is sent eagerly kEagerSends times, and then at random intervals until it expires. */
class RumorBoard {
 public:
  static constexpr size_t kMaxRumors = 512;
  static constexpr uint32_t kEagerSends = 6;

  /** Adds a rumor; returns whether it is new to this instance. */
  bool Add(const GossipMessage::Rumor& rumor, TimePoint now);
  /**
   * Appends up to `count` rumors that still have eager sends to `out` and then, unless that limit left some rumors
   * unchecked, a random one, so that `count` may be exceeded by one.
   */
  void Pick(size_t count, TimePoint now, std::mt19937_64& random, std::vector<GossipMessage::Rumor>& out);
  /** Appends up to `count` rumors to `out`, newest first, after skipping `first`. Does not count them as sent. */
  void CopyNewest(size_t first, size_t count, TimePoint now, std::vector<GossipMessage::Rumor>& out) const;
  /** Hash over the rumors of leaving and returned endpoints; independent of the order of their arrival. */
  uint64_t LeavingDigest() const;
  void Expire(TimePoint now);
  size_t Size() const { return m_rumors.size(); }

 private:
  struct Entry {
    GossipMessage::Rumor rumor;
    TimePoint expires_at;
    uint32_t eager_sends = kEagerSends;
  };
  static void Append(const Entry& entry, TimePoint now, std::vector<GossipMessage::Rumor>& out);
  std::vector<Entry> m_rumors;
};

}  // namespace sassafras
