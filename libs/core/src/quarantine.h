#pragma once

#include <array>
#include <cstdint>

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

  /** What a report changed. */
  enum class Change : uint8_t { kNone, kNewSuspicion, kQuarantined };

  /** Records that `endpoint` broke while it ran the request. */
  Change Suspect(uint64_t fingerprint, uint64_t endpoint, TimePoint now);
  /** Records that the request was answered, which clears suspicion. */
  void Clear(uint64_t fingerprint);
  /** Quarantines a request as told by a peer; returns whether that is new. */
  bool Add(uint64_t fingerprint, TimePoint until);
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
  absl::flat_hash_map<uint64_t, Suspicion> m_suspects;
  absl::flat_hash_map<uint64_t, TimePoint> m_quarantined;
};

}  // namespace sassafras
