#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "base/handle.h"
#include "core/call_handle.h"
#include "core/quota_counters.h"
#include "quota_shards.h"

namespace sassafras {

/** Tokens of one account that this instance was granted and has not used. */
class QuotaStock {
 public:
  /** Adds tokens that expire at `expires_at`. */
  void Add(uint32_t count, TimePoint expires_at, TimePoint now);
  /** Takes the token that expires first; returns when it expires, or TimePoint() if there is none. */
  TimePoint Take(TimePoint now);
  /** Whether there is a token to take. */
  bool Has(TimePoint now) const;

 private:
  struct Batch {
    uint32_t count = 0;
    TimePoint expires_at;
  };
  std::array<Batch, 4> m_batches;
};

/** What this instance holds of the quota of one account, and its requests for more. */
struct QuotaClient {
  /** Members and shards that are asked in one round, two of each. */
  static constexpr size_t kMaxRequestsPerRound = 4;

  struct Request {
    /** Distinguishes the request from earlier ones; 0 if there is none. */
    uint32_t sequence = 0;
    TimePoint sent_at;
  };

  QuotaStock stock;
  /** Calls that wait for tokens, in order of arrival; may hold calls that have ended. */
  std::vector<CallHandle> waiting;
  /** The request that is outstanding; its sequence is 0 if none is. */
  Request request;
  /** Earlier requests whose grants may still arrive. */
  std::array<Request, kMaxRequestsPerRound> late_requests;
  uint32_t last_sequence = 0;
  uint32_t shard = 0;
  uint32_t wanted = 0;
  /** Owed tokens that the outstanding request states. */
  uint32_t owed_in_request = 0;
  /** Hash of the name of the member asked. */
  uint64_t member = 0;
  /** Whether the second member in the order of the shard is asked, and whether another shard has denied tokens. */
  bool second_member = false;
  bool second_shard = false;
  /** Whether the account is in QuotaState::open. */
  bool open = false;
  /** Tokens used without a grant that no owner has been told of. */
  uint32_t owed = 0;
  TimePoint denied_at{};
  /** Until then, calls are rejected without a request. */
  TimePoint denied_until{};
  /** When the next token that rejected callers were not promised is expected. */
  TimePoint promised_until{};
  /** Calls and granted tokens per second, averaged over the last moments. */
  double arrival_rate = 0;
  double granted_rate = 0;
  TimePoint arrival_rate_at{};
  TimePoint granted_rate_at{};
  double fallback_tokens = 0;
  TimePoint fallback_filled_at{};
  TimePoint used_at{};
  /** Rejections since the account was last within its quota, and the time of the latest. */
  uint64_t rejected = 0;
  TimePoint rejected_at{};
};

/** A peer that was asked for tokens, or in whose place this instance was asked. */
struct QuotaPeer {
  uint64_t name_hash = 0;
  TimePoint heard_at{};
  TimePoint queried_at{};
  TimePoint passed_over_until{};
  /** Requests without a reply since the peer was last heard. */
  uint32_t unanswered = 0;
};

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
