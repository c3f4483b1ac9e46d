#pragma once

#include <algorithm>
#include <chrono>

#include "base/clock.h"

namespace sassafras {

/** Token bucket that refills with time. */
class TimedTokenBucket {
 public:
  /**
   * Takes up to `wanted` tokens.
   * @param per_second  tokens added per second; may change between calls
   * @param burst       time for which tokens accumulate; the bucket is full after it
   * @return the number of tokens taken
   */
  size_t Take(size_t wanted, double per_second, std::chrono::milliseconds burst, TimePoint now) {
    const double limit = per_second * std::chrono::duration<double>(burst).count();
    const bool first = m_filled_at == TimePoint();
    const double gained = std::chrono::duration<double>(now - m_filled_at).count() * per_second;
    m_tokens = first ? limit : std::min(limit, m_tokens + gained);
    m_filled_at = now;
    m_limit = limit;
    const size_t taken = std::min(wanted, static_cast<size_t>(std::max(0.0, m_tokens)));
    m_tokens -= static_cast<double>(taken);
    return taken;
  }

  /** Returns how full the bucket was after the last Take(), 0 to 1. */
  double FillLevel() const { return m_limit > 0 ? m_tokens / m_limit : 1.0; }

 private:
  double m_limit = 0;
  double m_tokens = 0;
  TimePoint m_filled_at{};
};

}  // namespace sassafras
