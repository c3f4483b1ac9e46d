#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/clock.h"

namespace sassafras {

/** Tracks requests, identified by fingerprint, that appear to crash the endpoints that run them. */
class Quarantine {
 public:
  /** Number of distinct endpoints at which a request has to break the connection to be quarantined. */
  static constexpr size_t kEndpointsToQuarantine = 3;
  static constexpr size_t kMaxSuspects = 1'024;
  static constexpr size_t kMaxQuarantined = 1'024;
  static constexpr std::chrono::minutes kSuspectLifetime{5};
  static constexpr std::chrono::minutes kQuarantineLifetime{10};
  static constexpr std::chrono::minutes kRecentAnswerLifetime{1};
  /** Number of slots for recently answered requests, indexed by fingerprint; a newer entry replaces an older one. */
  static constexpr size_t kRecentAnswerSlots = 4'096;

  /** Effect of RecordBrokenConnection(). */
  enum class Change : uint8_t { kNone, kNewSuspicion, kQuarantined };

  /** Records that the connection to `endpoint` broke while it ran the request. */
  Change RecordBrokenConnection(uint64_t fingerprint, uint64_t endpoint, TimePoint now);
  /**
   * Records that the request was answered, and clears it of suspicion. A request that gets answers does not crash every
   * endpoint, so for the next kRecentAnswerLifetime broken connections are not attributed to it.
   */
  void RecordAnswer(uint64_t fingerprint, TimePoint now);
  /** Quarantines a request unless it was answered recently; returns whether it was added. */
  bool Add(uint64_t fingerprint, TimePoint until, TimePoint now);
  /** Whether the request was answered within kRecentAnswerLifetime. */
  bool WasRecentlyAnswered(uint64_t fingerprint, TimePoint now) const;
  bool IsQuarantined(uint64_t fingerprint, TimePoint now) const;
  bool IsSuspect(uint64_t fingerprint) const { return m_suspects.contains(fingerprint); }
  void Expire(TimePoint now);
  size_t Size() const { return m_quarantined.size(); }

 private:
  struct Suspicion {
    std::array<uint64_t, kEndpointsToQuarantine> endpoints{};
    size_t count = 0;
    TimePoint until;
  };
  struct RecentAnswer {
    uint64_t fingerprint = 0;
    TimePoint until{};
  };
  std::vector<RecentAnswer> m_recent_answers = std::vector<RecentAnswer>(kRecentAnswerSlots);
  absl::flat_hash_map<uint64_t, Suspicion> m_suspects;
  absl::flat_hash_map<uint64_t, TimePoint> m_quarantined;
};

}  // namespace sassafras
