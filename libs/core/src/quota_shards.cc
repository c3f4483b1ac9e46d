#include "quota_shards.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace sassafras {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr double kRatePerShard = 32;
constexpr double kMaxShards = 16;
/**
 * Tokens that the buckets of an account hold in addition to its burst: a part of the 20 requests by which the limit of
 * a window may be exceeded. Without them, calls that arrive unevenly are rejected below the limit if the burst is
 * small.
 */
constexpr double kExtraBurst = 8;
/** Lowest rate that is used to compute a delay. */
constexpr double kMinRate = 1e-3;
/** Greatest debt of a bucket, as the time that its rate needs to repay it. */
constexpr double kMaxDebtSeconds = 5;

Duration TimeFor(double tokens, double rate) {
  const Seconds time(std::min(tokens / std::max(rate, kMinRate), Seconds(QuotaShards::kMaxRetryAfter).count()));
  return std::chrono::duration_cast<Duration>(time);
}

}  // namespace

uint32_t QuotaShardCount(double rate_per_second) {
  return static_cast<uint32_t>(std::clamp(std::ceil(rate_per_second / kRatePerShard), 1.0, kMaxShards));
}

uint64_t QuotaShardSeed(uint64_t account_hash, uint32_t shard) {
  return HashCombine(account_hash, shard);
}

QuotaShards::Grant QuotaShards::Take(uint64_t account_hash,
                                     const Account& account,
                                     const Demand& demand,
                                     const Part& part,
                                     TimePoint now) {
  const uint32_t shards = QuotaShardCount(account.rate_per_second);
  // The sender may not know yet that the limit, and with it the number of shards, has changed.
  const auto [found, added] = m_buckets.try_emplace(QuotaShardSeed(account_hash, demand.shard % shards));
  Bucket& bucket = found->second;
  const double full_rate = account.rate_per_second / shards;
  const double rate = full_rate * part.rate;
  // A bucket that cannot hold one token would never grant any.
  const double limit = std::max(1.0, (account.burst + kExtraBurst) / shards * part.burst);
  if (added)
    bucket.tokens = std::max(1.0, std::min(account.burst / shards / 2, limit * part.rate));
  else
    bucket.tokens += Seconds(now - bucket.filled_at).count() * rate;
  bucket.tokens = std::clamp(bucket.tokens - demand.owed, -full_rate * kMaxDebtSeconds, limit);
  bucket.filled_at = now;
  Grant grant;
  grant.granted = std::min(demand.wanted, static_cast<uint32_t>(std::max(0.0, bucket.tokens)));
  bucket.tokens -= grant.granted;
  bucket.full_at = now + TimeFor(limit - bucket.tokens, rate);
  const uint32_t denied = demand.wanted - grant.granted;
  if (denied == 0)
    return grant;
  // Each token that arrives from now on is promised to one rejected caller, so that they do not all return for one.
  bucket.promised_until = std::max(bucket.promised_until, now + TimeFor(1 - bucket.tokens, rate));
  const Duration delay = std::min<Duration>(bucket.promised_until - now, kMaxRetryAfter);
  grant.retry_after = std::max(std::chrono::milliseconds(1), std::chrono::ceil<std::chrono::milliseconds>(delay));
  bucket.promised_until = now + std::min<Duration>(delay + TimeFor(denied, rate), kMaxRetryAfter);
  return grant;
}

void QuotaShards::Expire(TimePoint now) {
  absl::erase_if(m_buckets, [now](const auto& entry) {
    return now >= entry.second.full_at && now - entry.second.filled_at > kIdleTime;
  });
}

}  // namespace sassafras
