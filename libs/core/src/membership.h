#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "core/member.h"

namespace sassafras {

/** Entry instances known from the platform's directory, the roster and gossip, all of which lag and may be wrong. */
class Membership {
 public:
  /** Bounds of the time after which an instance whose heartbeat has not advanced counts as silent, not alive. */
  static constexpr std::chrono::milliseconds kMinSilentTimeout{2'500};
  static constexpr std::chrono::milliseconds kMaxSilentTimeout{5'000};
  /** Silent time after which an instance that the platform no longer lists is removed. */
  static constexpr std::chrono::hours kForgetTimeout{2};

  struct Entry {
    Member member;
    uint64_t name_hash = 0;
    /** Short id of the member's incarnation, used in heartbeats. */
    uint32_t heartbeat_id = 0;
    /** When this instance first learned of the member's incarnation, or later that it leaves. */
    TimePoint changed_at;
    /** When this instance last saw the heartbeat advance. */
    TimePoint heard_at;
    /** Whether the directory or the roster lists the member. */
    bool listed = false;
    /** Whether the member was last reported as alive by TakeLivenessChanges(). */
    bool logged_alive = true;
    /** Leaving mark when last listed, kept to detect a change. */
    bool listed_leaving = false;
  };

  /** Merges the state of a member, as gossiped by itself or by a peer. */
  void MergeMember(const Member& member, TimePoint now);
  /** Updates whether a member can reach the platform's store; returns whether that changed. */
  bool UpdateStoreReachable(std::string_view name, bool reachable, uint32_t heartbeat);
  /** Merges the heartbeat of a member, as gossiped by a peer; ignores an unknown id. */
  void MergeHeartbeat(uint32_t id, uint32_t heartbeat, TimePoint now);
  /** Applies the members listed in the platform's directory or the roster; if not `whole`, only a part of them. */
  void ApplyListing(const std::vector<Member>& members, bool whole, TimePoint now);
  /** Removes members that are no longer listed and have been silent for kForgetTimeout. */
  void Expire(TimePoint now);
  /** Excludes a pause of this process from the silent time of all members, as none could be heard during it. */
  void ExcludePause(Duration pause);

  /**
   * Adapts the silent timeout to the usual age of heartbeats, which depends on the size of the fleet and on its gossip.
   * Must be called every second.
   */
  void UpdateSilentTimeout(TimePoint now);

  /** Names of members that have become alive, or silent if not `alive`, since the last call with that argument. */
  std::vector<std::string> TakeLivenessChanges(bool alive, TimePoint now);

  bool IsAlive(const Entry& entry, TimePoint now) const { return now - entry.heard_at < m_silent_timeout; }
  /** Usual time since the heartbeat of a member last advanced. */
  Duration MeanHeartbeatAge() const { return m_mean_heartbeat_age; }
  const std::vector<Entry>& All() const { return m_entries; }
  /** Finds a member by name; null if there is none. */
  const Entry* Find(std::string_view name) const;
  /** Whether this incarnation of the member is known to be leaving. */
  bool IsLeaving(const Member& member) const;
  /** Number of members that are alive and not leaving. */
  size_t CountServing(TimePoint now) const;
  /**
   * Rank of this instance among the serving members in the rendezvous order for `seed`. Instances that know the same
   * members agree on the order, and one member that joins or leaves moves the others by at most one.
   */
  size_t RankFor(uint64_t seed, uint64_t self_hash, TimePoint now) const;
  /** First and second of the serving members in the order of RankFor(); null where there is none. */
  std::array<const Entry*, 2> FirstTwoFor(uint64_t seed, TimePoint now) const;
  /**
   * Like RankFor(), but members that cannot reach the platform's store rank after all others.
   * @param domain  failure domain whose members are counted; empty for all
   */
  size_t RankPreferringReachable(uint64_t seed, uint64_t self_hash, TimePoint now, std::string_view domain = {}) const;

 private:
  static void SetIdentity(Entry& entry, const Member& member, TimePoint now);
  static void AdvanceHeartbeat(Entry& entry, uint32_t heartbeat, TimePoint now);
  Entry& FindOrAdd(const Member& member, TimePoint now);
  std::vector<Entry> m_entries;
  /** Exponential moving average of the age of heartbeats. */
  Duration m_mean_heartbeat_age = kMaxSilentTimeout;
  Duration m_silent_timeout = kMaxSilentTimeout;
};

}  // namespace sassafras
