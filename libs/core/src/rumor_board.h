#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "base/clock.h"
#include "core/gossip_message.h"

namespace sassafras {

/** Facts to spread. Each is sent a fixed number of times at once and then now and then until it lapses. */
class RumorBoard {
 public:
  static constexpr size_t kMaxRumors = 512;
  static constexpr uint32_t kEagerSends = 6;

  /** Adds a fact; returns whether it is new here. */
  bool Add(const GossipMessage::Rumor& rumor, TimePoint now);
  /** Fills `out` with up to `count` facts: eager ones first, then random ones. */
  void Pick(size_t count, TimePoint now, std::mt19937_64& random, std::vector<GossipMessage::Rumor>& out);
  /** Fills `out` with up to `count` facts from position `first` on, newest first, without counting them as sent. */
  void Peek(size_t first, size_t count, TimePoint now, std::vector<GossipMessage::Rumor>& out) const;
  /** Hash over the facts on leaving and returning endpoints, whatever order they arrived in. */
  uint64_t LeavingDigest() const;
  void Expire(TimePoint now);
  size_t Size() const { return m_rumors.size(); }

 private:
  struct Entry {
    GossipMessage::Rumor rumor;
    TimePoint until;
    uint32_t eager_sends = kEagerSends;
  };
  static void Append(const Entry& entry, TimePoint now, std::vector<GossipMessage::Rumor>& out);
  std::vector<Entry> m_rumors;
};

}  // namespace sassafras
