#pragma once

#include <algorithm>

namespace sassafras {

/** Budget that grows with each call and is spent by extra attempts. */
class AttemptBudget {
 public:
  /** An empty bucket that never fills. */
  AttemptBudget() = default;
  /**
   * @param earn   tokens gained with each call
   * @param limit  tokens held at most
   * @param start  tokens held at first
   */
  AttemptBudget(double earn, double limit, double start) : m_earn(earn), m_limit(limit), m_tokens(start) {}

  bool IsSet() const { return m_limit > 0; }
  /** Changes how many tokens are held at most, and lowers those held now to `held`. */
  void SetLimit(double limit, double max_tokens) {
    m_limit = limit;
    m_tokens = std::min(m_tokens, max_tokens);
  }
  void Earn() { m_tokens = std::min(m_limit, m_tokens + m_earn); }
  /** Takes `cost` tokens if they are there. */
  bool Spend(double cost) {
    if (m_tokens < cost)
      return false;
    m_tokens -= cost;
    return true;
  }

 private:
  double m_earn = 0;
  double m_limit = 0;
  double m_tokens = 0;
};

}  // namespace sassafras
