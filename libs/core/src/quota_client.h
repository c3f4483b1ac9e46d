#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "core/call_handle.h"
#include "quota_stock.h"

namespace sassafras {

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

}  // namespace sassafras
