#pragma once

#include <algorithm>

namespace sassafras {

/** Budget that grows with each call and is spent by extra attempts. */
class TokenBucket {
 public:
  /**
   * @param earn   tokens gained with each call
   * @param limit  tokens held at most; also the start
   */
  TokenBucket(double earn, double limit) : m_earn(earn), m_limit(limit), m_tokens(limit) {}

  void Earn() { m_tokens = std::min(m_limit, m_tokens + m_earn); }
  /** Takes `cost` tokens if they are there. */
  bool Spend(double cost) {
    if (m_tokens < cost)
      return false;
    m_tokens -= cost;
    return true;
  }

 private:
  double m_earn;
  double m_limit;
  double m_tokens;
};

}  // namespace sassafras
