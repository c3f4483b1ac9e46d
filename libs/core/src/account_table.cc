#include "account_table.h"

#include <algorithm>

namespace sassafras {

void AccountTable::Apply(const std::vector<Account>& accounts) {
  for (AccountState& account : m_accounts) {
    account.active = false;
    account.config.keys.clear();
  }
  m_by_key.clear();
  m_by_key_hash.clear();
  m_active_count = accounts.size();
  double rates = 0;
  double limited = 0;
  for (const Account& row : accounts) {
    const uint64_t name_hash = Hash64(row.name);
    const auto [found, added] = m_by_name.try_emplace(name_hash, AccountHandle(static_cast<uint32_t>(Size())));
    if (added)
      m_accounts.emplace_back();
    m_accounts[found->second.Index()] = {row, name_hash, true};
    rates += std::max(0.0, row.rate_per_second);
    limited += row.rate_per_second > 0 ? 1 : 0;
    for (const std::string& key : row.keys) {
      m_by_key.try_emplace(key, found->second);
      m_by_key_hash.try_emplace(Hash64(key), found->second);
    }
  }
  m_mean_rate = limited > 0 ? rates / limited : 1;
}

double AccountTable::WeightOf(AccountHandle account) const {
  // Calls without an account, and accounts without a limit, count as an account with a usual limit.
  const double rate = IsActive(account) ? m_accounts[account.Index()].config.rate_per_second : 0;
  return rate > 0 ? rate / m_mean_rate : 1;
}

AccountHandle AccountTable::FindByKey(std::string_view key) const {
  const auto found = m_by_key.find(key);
  return found == m_by_key.end() ? AccountHandle() : found->second;
}

AccountHandle AccountTable::FindByKeyHash(uint64_t key_hash) const {
  const auto found = m_by_key_hash.find(key_hash);
  return found == m_by_key_hash.end() ? AccountHandle() : found->second;
}

AccountHandle AccountTable::FindByNameHash(uint64_t name_hash) const {
  const auto found = m_by_name.find(name_hash);
  return found == m_by_name.end() || !IsActive(found->second) ? AccountHandle() : found->second;
}

}  // namespace sassafras
