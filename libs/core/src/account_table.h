#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "account_state.h"
#include "base/handle.h"
#include "base/hash.h"

namespace sassafras {

/** Client accounts by handle, API key and name. A handle stays valid, also when its account is removed. */
class AccountTable {
 public:
  /** Replaces the accounts in use. If two accounts hold one key, it belongs to the first of them. */
  void Apply(const std::vector<Account>& accounts);

  /** Returns the account that holds the key; an invalid handle if none does. Does not allocate. */
  AccountHandle FindByKey(std::string_view key) const;
  /** Like FindByKey(), by the Hash64() of the key. */
  AccountHandle FindByKeyHash(uint64_t key_hash) const;
  /** Returns the account whose name has this Hash64(); an invalid handle if none in use has. */
  AccountHandle FindByNameHash(uint64_t name_hash) const;

  /** Whether no account is in use. */
  bool Empty() const { return m_active_count == 0; }
  /** Number of handles, including those of removed accounts. */
  size_t Size() const { return m_accounts.size(); }
  bool IsActive(AccountHandle account) const { return account.IsValid() && m_accounts[account.Index()].active; }
  /** Weight of the account in comparison with others: its rate, relative to the mean of those with a limit. */
  double WeightOf(AccountHandle account) const;
  AccountState& operator[](AccountHandle account) { return m_accounts[account.Index()]; }
  const AccountState& operator[](AccountHandle account) const { return m_accounts[account.Index()]; }

 private:
  /** Hash that also takes a view of a key, so that a look-up needs no copy. */
  struct KeyHash {
    using is_transparent = void;
    size_t operator()(std::string_view key) const { return Hash64(key); }
  };

  std::vector<AccountState> m_accounts;
  absl::flat_hash_map<std::string, AccountHandle, KeyHash, std::equal_to<>> m_by_key;
  absl::flat_hash_map<uint64_t, AccountHandle> m_by_key_hash;
  absl::flat_hash_map<uint64_t, AccountHandle> m_by_name;
  size_t m_active_count = 0;
  /** Mean rate of the accounts with a limit. */
  double m_mean_rate = 1;
};

}  // namespace sassafras
