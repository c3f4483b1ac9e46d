#include "account_table.h"

namespace sassafras {

void AccountTable::Apply(const std::vector<Account>& accounts) {
  for (AccountState& account : m_accounts) {
    account.active = false;
    account.config.keys.clear();
  }
  m_by_key.clear();
  m_by_key_hash.clear();
  m_active_count = accounts.size();
  for (const Account& row : accounts) {
    const uint64_t name_hash = Hash64(row.name);
    const auto [found, added] = m_by_name.try_emplace(name_hash, AccountHandle(static_cast<uint32_t>(Size())));
    if (added)
      m_accounts.emplace_back();
    m_accounts[found->second.Index()] = {row, name_hash, true};
    for (const std::string& key : row.keys) {
      m_by_key.try_emplace(key, found->second);
      m_by_key_hash.try_emplace(Hash64(key), found->second);
    }
  }
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
