#pragma once

#include <array>
#include <cstdint>

#include "base/clock.h"

namespace sassafras {

/** Tokens of one account that this instance was granted and has not used. */
class QuotaStock {
 public:
  /** Adds tokens that expire at `expires_at`. */
  void Add(uint32_t count, TimePoint expires_at, TimePoint now);
  /** Takes the token that expires first; returns when it expires, or TimePoint() if there is none. */
  TimePoint Take(TimePoint now);
  /** Whether there is a token to take. */
  bool Has(TimePoint now) const;

 private:
  struct Batch {
    uint32_t count = 0;
    TimePoint expires_at;
  };
  std::array<Batch, 4> m_batches;
};

}  // namespace sassafras
