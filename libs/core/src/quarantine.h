#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/clock.h"

namespace sassafras {

/** Requests, named by fingerprint, that broke connections of endpoints while they ran. */
class Quarantine {
 public:
  /** Distinct endpoints that a request may break before it is refused. */
  static constexpr size_t kEndpointsToQuarantine = 3;
  static constexpr size_t kMaxSuspects = 1'024;
  static constexpr size_t kMaxQuarantined = 1'024;
  static constexpr std::chrono::minutes kSuspectLifetime{5};
  static constexpr std::chrono::minutes kQuarantineLifetime{10};
  static constexpr std::chrono::minutes kRecentAnswerLifetime{1};
  /** Answered requests remembered; a newer one may displace an older one. */
  static constexpr size_t kRecentAnswerSlots = 4'096;

  /** What a report changed. */
  enum class Change : uint8_t { kNone, kNewSuspicion, kQuarantined };

  /** Records that `endpoint` broke while it ran the request. */
  Change RecordCrash(uint64_t fingerprint, uint64_t endpoint, TimePoint now);
  /**
   * Records that the request was answered. A request that is sometimes answered does not crash every
   * endpoint: breaks of its connections are the endpoints' doing for the next kProvenLifetime.
   */
  void RecordAnswer(uint64_t fingerprint, TimePoint now);
  /** Quarantines a request unless it was answered lately; returns whether that is new. */
  bool Add(uint64_t fingerprint, TimePoint until, TimePoint now);
  /** Whether the request was answered within kProvenLifetime. */
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
