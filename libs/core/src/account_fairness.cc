#include "account_fairness.h"

#include <algorithm>
#include <chrono>

namespace sassafras {
namespace {

/** Time without held calls after which all tags are forgotten: there was room for everyone. */
constexpr std::chrono::seconds kForgetTime{1};
/** Period in which the counts of held and served calls are halved. */
constexpr std::chrono::seconds kHalvingPeriod{5};
/**
 * An account whose held calls are served at less than this fraction of the rate of all goes before the others. By its
 * weight alone, an account with many times as many calls as others could get less than the quarter that is required.
 */
constexpr double kMinRelativeShare = 0.4;
/** Held calls below which the share of an account says nothing. */
constexpr double kMinHeld = 8;

}  // namespace

AccountFairness::Rank AccountFairness::RankOf(AccountHandle account) const {
  const auto found = m_accounts.find(account.Index());
  if (found == m_accounts.end())
    return {true, m_virtual_time};
  const Entry& entry = found->second;
  const double fair_part = entry.held * m_total.served / std::max(1.0, m_total.held);
  const bool has_share = entry.held < kMinHeld || entry.served >= kMinRelativeShare * fair_part;
  return {has_share, std::max(m_virtual_time, entry.finish_tag)};
}

void AccountFairness::ForgetOld(TimePoint now) {
  if (now - m_last_held > kForgetTime) {
    m_accounts.clear();
    m_total = {};
    m_virtual_time = 0;
  }
  if (now - m_halved_at > kHalvingPeriod) {
    m_halved_at = now;
    for (auto& [account, entry] : m_accounts) {
      entry.held /= 2;
      entry.served /= 2;
    }
    m_total.held /= 2;
    m_total.served /= 2;
  }
  if (m_accounts.size() >= kMaxAccounts)
    absl::erase_if(m_accounts, [this](const auto& item) { return item.second.finish_tag <= m_virtual_time; });
  if (m_accounts.size() >= kMaxAccounts)
    m_accounts.clear();
}

void AccountFairness::RecordHeld(AccountHandle account, TimePoint now) {
  ForgetOld(now);
  m_last_held = now;
  m_accounts[account.Index()].held += 1;
  m_total.held += 1;
}

void AccountFairness::RecordSlot(AccountHandle account, double weight, bool was_held, TimePoint now) {
  ForgetOld(now);
  Entry& entry = m_accounts[account.Index()];
  entry.finish_tag = std::max(m_virtual_time, entry.finish_tag) + 1 / weight;
  entry.served += was_held ? 1 : 0;
  m_total.served += was_held ? 1 : 0;
}

void AccountFairness::Advance(const Rank& rank) {
  m_virtual_time = std::max(m_virtual_time, rank.has_share ? rank.tag : m_virtual_time);
}

}  // namespace sassafras
