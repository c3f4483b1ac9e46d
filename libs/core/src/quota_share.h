#pragma once

#include <chrono>
#include <cstdint>

#include "base/clock.h"
#include "core/effect.h"
#include "quota_shards.h"

namespace sassafras {

struct AccountState;
struct QuotaClient;
struct QuotaPeer;
struct StateParts;

// Which part of a quota this instance may use or grant while members are lost or cut off. See docs/design/quotas.md.

/** Members that have been silent for longer are taken to have ended, not to use their local shares. */
constexpr std::chrono::seconds kSilentMemberTime{60};

/** Whether a peer was heard lately; if not, this instance is taken to be cut off. */
bool IsInTouchWithPeers(const StateParts& parts, TimePoint now);

/** What is known of the peer for quotas; valid until the next call. */
QuotaPeer& QuotaPeerOf(StateParts& parts, uint64_t name_hash);

/** Largest number of instances that may have to share a quota without talking to each other. */
double QuotaShareCount(const StateParts& parts, TimePoint now);

/** Part of a shard that this instance may use when it grants tokens of it. */
QuotaShards::Part QuotaPartOf(StateParts& parts, uint64_t seed, TimePoint now, Effects& effects);

/**
 * Takes a token of the part of the account's quota that this instance may use while no owner replies.
 * @return false if there is none
 */
bool TakeFromLocalShare(const StateParts& parts, const AccountState& state, QuotaClient& client, TimePoint now);

}  // namespace sassafras
