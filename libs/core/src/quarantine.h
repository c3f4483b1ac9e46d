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
  static constexpr size_t kThreshold = 3;
  static constexpr size_t kMaxSuspects = 1'024;
  static constexpr size_t kMaxQuarantined = 1'024;
  static constexpr std::chrono::minutes kSuspectLifetime{5};
  static constexpr std::chrono::minutes kQuarantineLifetime{10};
  static constexpr std::chrono::minutes kProvenLifetime{1};
  /** Answered requests remembered; a newer one may displace an older one. */
  static constexpr size_t kProvenSlots = 4'096;

  /** What a report changed. */
  enum class Change : uint8_t { kNone, kNewSuspicion, kQuarantined };

  /** Records that `endpoint` broke while it ran the request. */
  Change Suspect(uint64_t fingerprint, uint64_t endpoint, TimePoint now);
  /**
   * Records that the request was answered. A request that is sometimes answered does not crash every
   * endpoint: breaks of its connections are the endpoints' doing for the next kProvenLifetime.
   */
  void Answered(uint64_t fingerprint, TimePoint now);
  /** Quarantines a request unless it was answered lately; returns whether that is new. */
  bool Add(uint64_t fingerprint, TimePoint until, TimePoint now);
  /** Whether the request was answered within kProvenLifetime. */
  bool IsProven(uint64_t fingerprint, TimePoint now) const;
  bool IsQuarantined(uint64_t fingerprint, TimePoint now) const;
  bool IsSuspect(uint64_t fingerprint) const { return m_suspects.contains(fingerprint); }
  void Expire(TimePoint now);
  size_t Size() const { return m_quarantined.size(); }

 private:
  struct Suspicion {
    std::array<uint64_t, kThreshold> endpoints{};
    size_t count = 0;
    TimePoint until;
  };
  struct Proven {
    uint64_t fingerprint = 0;
    TimePoint until{};
  };
  std::vector<Proven> m_proven = std::vector<Proven>(kProvenSlots);
  absl::flat_hash_map<uint64_t, Suspicion> m_suspects;
  absl::flat_hash_map<uint64_t, TimePoint> m_quarantined;
};

}  // namespace sassafras
