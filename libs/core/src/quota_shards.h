#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include <absl/container/flat_hash_map.h>

#include "base/clock.h"
#include "lists/account.h"

namespace sassafras {

/** Returns into how many shards the quota of an account with this rate is split, each with an owner of its own. */
uint32_t QuotaShardCount(double rate_per_second);

/** Seed of the rendezvous order of members for the shard; the same on every instance. */
uint64_t QuotaShardSeed(uint64_t account_hash, uint32_t shard);

/** Token buckets of the quota shards that this instance owns, in memory only. */
class QuotaShards {
 public:
  /** Time without use after which a full bucket is dropped. A bucket that is made again starts half full. */
  static constexpr std::chrono::minutes kIdleTime{10};
  /** Longest retry delay. Callers that are rejected for longer see the same delay. */
  static constexpr std::chrono::seconds kMaxRetryAfter{10};

  struct Demand {
    uint32_t shard = 0;
    uint32_t wanted = 0;
    /** Tokens used without a grant, debited before any are granted. */
    uint32_t owed = 0;
  };
  struct Grant {
    uint32_t granted = 0;
    /** Time until a token is expected for the first of those denied; zero if none was denied. */
    std::chrono::milliseconds retry_after{};
  };

  /** Part of its shard that an owner may use, because others may grant tokens of the same shard. */
  struct Part {
    /** Share of the rate at which the bucket has filled since its last use, and share of the burst that it holds. */
    double rate = 1;
    double burst = 1;
  };

  /** Debits the tokens owed and those granted. */
  Grant Take(uint64_t account_hash, const Account& account, const Demand& demand, const Part& part, TimePoint now);

  /** Drops buckets that have been full and unused for kIdleTime. */
  void Expire(TimePoint now);
  size_t Size() const { return m_buckets.size(); }
  /** Bytes of state. */
  size_t Bytes() const { return m_buckets.capacity() * (sizeof(decltype(m_buckets)::value_type) + 1); }

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint filled_at;
    TimePoint full_at;
    /** Time by which the tokens are used up that were promised to rejected callers. */
    TimePoint promised_until;
  };

  absl::flat_hash_map<uint64_t, Bucket> m_buckets;
};

}  // namespace sassafras
