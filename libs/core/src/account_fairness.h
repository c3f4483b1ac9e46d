#pragma once

#include <cstddef>
#include <cstdint>
#include <tuple>

#include <absl/container/flat_hash_map.h>

#include "base/clock.h"
#include "base/handle.h"

namespace sassafras {

/**
 * Order in which the accounts whose calls are held get the free slots of one service, by start-time fair queueing: an
 * account's tag is the virtual time at which the slots that it got so far, each divided by its weight, are used up, and
 * the account with the lowest tag is next. An account that held no calls starts at the current virtual time, so that it
 * neither saves up slots nor pays for those that it got while there was room.
 */
class AccountFairness {
 public:
  /** Accounts of which a tag is kept. If there are more, those are forgotten that have no advantage or debt. */
  static constexpr size_t kMaxAccounts = 1'024;

  /** Place of an account in the order; lower values are served first. */
  struct Rank {
    /** Whether the account's held calls get slots at more than a fraction of the rate of all held calls. */
    bool has_share = true;
    double tag = 0;
    bool operator<(const Rank& other) const { return std::tie(has_share, tag) < std::tie(other.has_share, other.tag); }
  };

  Rank RankOf(AccountHandle account) const;
  /** Records that a call of the account is held. */
  void RecordHeld(AccountHandle account, TimePoint now);
  /**
   * Records that a call of the account got a slot while calls were held.
   * @param was_held  whether the call itself was held
   */
  void RecordSlot(AccountHandle account, double weight, bool was_held, TimePoint now);
  /** Records that the account with this rank was the next one. */
  void Advance(const Rank& rank);
  size_t Size() const { return m_accounts.size(); }

 private:
  struct Entry {
    double finish_tag = 0;
    /** Calls that were held, and those of them that got a slot. */
    double held = 0;
    double served = 0;
  };

  void ForgetOld(TimePoint now);

  absl::flat_hash_map<uint32_t, Entry> m_accounts;
  Entry m_total;
  double m_virtual_time = 0;
  TimePoint m_last_held{};
  TimePoint m_halved_at{};
};

}  // namespace sassafras
