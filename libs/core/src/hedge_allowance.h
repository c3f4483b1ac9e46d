#pragma once

#include <algorithm>

namespace sassafras {

/**
 * The hedges that this instance may send under the operators' limit.
 *
 * Each call earns the limit (0.1 for one hedge per ten calls) and each hedge spends 1. Nobody else is asked: what the
 * instances earn adds up to the limit over all calls of the fleet, whoever is out of touch. Besides that, each instance
 * is granted its share of a slack of the whole fleet. The share may be a fraction of a hedge: it only brings the first
 * hedge forward, so many small instances that start together do not exceed the slack. If the fleet turns out larger
 * than thought, the excess is taken back, as a debt if it was spent.
 */
class HedgeAllowance {
 public:
  /**
   * @param earned_per_call  limit: hedges per call
   * @param most             hedges that may be saved up
   * @param grant            this instance's share of the fleet's slack, once since the start
   */
  void Configure(double earned_per_call, double most, double grant) {
    // A bucket below one could never be spent.
    m_most = std::max(1.0, most);
    grant = std::min(grant, m_most);
    m_tokens = std::min(m_most, m_tokens + grant - m_grant);
    m_grant = grant;
    m_earned_per_call = earned_per_call;
  }
  void Earn() { m_tokens = std::min(m_most, m_tokens + m_earned_per_call); }
  bool CanSpend() const { return m_tokens >= 1.0; }
  void Spend() { m_tokens -= 1.0; }

 private:
  double m_earned_per_call = 0;
  double m_most = 1;
  double m_grant = 0;
  double m_tokens = 0;
};

}  // namespace sassafras
