#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "base/handle.h"
#include "core/quota_counters.h"
#include "quota_client.h"
#include "quota_peer.h"
#include "quota_shards.h"

namespace sassafras {

/** State of the quotas: shards that this instance owns, and its own use of accounts with a limit. */
struct QuotaState {
  QuotaShards shards;
  /** By index of the account; null for accounts without a limit and those not used lately. */
  std::vector<std::unique_ptr<QuotaClient>> clients;
  /** Accounts with waiting calls, an outstanding request or tokens owed. */
  std::vector<AccountHandle> open;
  /** When the next of them is due; at the latest when an outstanding request or a waiting call expires. */
  TimePoint next_due = TimePoint::max();
  std::vector<QuotaPeer> peers;
  /** When any peer was last heard directly. */
  TimePoint heard_at{};
  QuotaCounters counters;

  /** Approximate size in bytes. */
  size_t Bytes() const;
};

}  // namespace sassafras
