#pragma once

#include <algorithm>

namespace sassafras {

/** Budget of extra attempts (retries or hedges): each call adds tokens, each extra attempt spends them. */
class AttemptBudget {
 public:
  /** Creates an empty budget that never fills. */
  AttemptBudget() = default;
  /**
   * @param earn   tokens added by each call
   * @param limit  maximum number of tokens
   * @param start  initial number of tokens
   */
  AttemptBudget(double earn, double limit, double start) : m_earn(earn), m_limit(limit), m_tokens(start) {}

  bool IsSet() const { return m_limit > 0; }
  /** Sets the maximum number of tokens, and lowers the current number to at most `max_tokens`. */
  void SetLimit(double limit, double max_tokens) {
    m_limit = limit;
    m_tokens = std::min(m_tokens, max_tokens);
  }
  void Earn() { m_tokens = std::min(m_limit, m_tokens + m_earn); }
  bool CanSpend(double cost) const { return m_tokens >= cost; }
  /** Takes `cost` tokens if available; returns whether it did. */
  bool Spend(double cost) {
    if (!CanSpend(cost))
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
