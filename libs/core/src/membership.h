#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "core/member.h"

namespace sassafras {

/** Entry instances known from the platform's list and from gossip; both lag and may be wrong. */
class Membership {
 public:
  /** Bounds of the time after which an instance whose heartbeat has not advanced is not handed to callers. */
  static constexpr std::chrono::milliseconds kSilentLeast{2'500};
  static constexpr std::chrono::milliseconds kSilentMost{5'000};
  /** A silent instance that the platform no longer lists is forgotten after this long. */
  static constexpr std::chrono::hours kForgetAfter{2};

  struct Entry {
    Member member;
    uint64_t name_hash = 0;
    /** Short name of the member's incarnation in heartbeats. */
    uint32_t heartbeat_id = 0;
    /** When this instance first knew the member's incarnation. */
    TimePoint learned_at;
    /** When the heartbeat last advanced here. */
    TimePoint heard_at;
    bool listed = false;
    /** Whether it was said last that the member is alive. */
    bool told_alive = true;
    /** State in the platform's list, to see when it changes. */
    bool listed_leaving = false;
  };

  /** Takes in what a member says of itself or a peer says of it. */
  void Heard(const Member& member, TimePoint now);
  /** Takes in whether a member reaches the platform's store; returns whether that is new. */
  bool NoteReaching(std::string_view name, bool reaching, uint32_t heartbeat);
  /** Takes in a peer's proof that a member was alive; an unknown id is passed over. */
  void HeardHeartbeat(uint32_t id, uint32_t heartbeat, TimePoint now);
  /** Takes in the platform's list, or the part of it that changed if it is not `whole`. */
  void Listed(const std::vector<Member>& members, bool whole, TimePoint now);
  /** Forgets members that are neither listed nor heard of. */
  void Expire(TimePoint now);
  /** After a pause of this process: nobody could be heard meanwhile. */
  void AddPause(Duration pause);

  /**
   * Learns how old heartbeats usually are here, which depends on the size of the fleet and its gossip: the older, the
   * longer a member may be silent. Called every second.
   */
  void LearnHeartbeatAge(TimePoint now);

  /** Names of members that are `alive` now, or are not, and were not when this was last asked. */
  std::vector<std::string> TakeChanged(bool alive, TimePoint now);

  bool IsAlive(const Entry& entry, TimePoint now) const { return now - entry.heard_at < m_silent_after; }
  const std::vector<Entry>& All() const { return m_entries; }
  /** Returns the member of that name, or null. */
  const Entry* Find(std::string_view name) const;
  /** Number of members that are alive and stay. */
  size_t CountServing(TimePoint now) const;
  /**
   * Position of `self` among serving members in the rendezvous order of `purpose`; all instances with the
   * same view agree on it, and one member's coming or going moves others by one at most.
   */
  size_t RankFor(uint64_t purpose, uint64_t self_hash, TimePoint now) const;
  /**
   * Like RankFor(), but members that cannot reach the platform's store come after all others.
   * @param domain  counts members of this failure domain only; empty for all
   */
  size_t RankForReaching(uint64_t purpose, uint64_t self_hash, TimePoint now, std::string_view domain = {}) const;

 private:
  static void SetIdentity(Entry& entry, const Member& member, TimePoint now);
  static void Advance(Entry& entry, uint32_t heartbeat, TimePoint now);
  Entry& FindOrAdd(const Member& member, TimePoint now);
  std::vector<Entry> m_entries;
  /** Moving average of the age of heartbeats. */
  Duration m_usual_age = kSilentMost;
  Duration m_silent_after = kSilentMost;
};

}  // namespace sassafras
