#pragma once

#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/clock.h"
#include "core/call_handle.h"
#include "core/recorded_answer.h"

namespace sassafras {

/**
 * Records of requests with an idempotency key that this instance owns.
 *
 * Tokens that callers copy from an address answer carry the epoch in which they were made. A token is valid
 * for kTokenEpochs; a record is kept as long as any token that could name it is valid, so that no request
 * that could still be sent again is ever forgotten.
 */
class IdempotencyTable {
 public:
  static constexpr std::chrono::minutes kEpochLength{1};
  static constexpr uint32_t kTokenValidEpochs = 10;
  static constexpr uint32_t kNone = UINT32_MAX;

  using Key = std::pair<uint64_t, uint64_t>;

  /** One request that may have been dispatched. */
  struct Record {
    enum class Stage : uint8_t { kRunning, kAnswered, kUnknown };
    Key key;
    uint32_t epoch = 0;
    Stage stage = Stage::kRunning;
    std::shared_ptr<const RecordedAnswer> answer;
    /** First of the calls that wait for the end. */
    CallHandle first_waiter;
  };

  IdempotencyTable(uint32_t record_limit, uint64_t byte_limit)
      : m_record_limit(record_limit), m_byte_limit(byte_limit) {}

  /** Returns the record's position, or kNone. */
  uint32_t Find(const Key& key) const;
  /** Adds a running record; kNone if the table is full. */
  uint32_t Add(const Key& key, uint32_t epoch);
  Record& At(uint32_t position) { return m_records[position]; }
  /** Forgets a request that certainly did not run. */
  void Remove(uint32_t position);
  /** Keeps the answer if there is room for it; without it, later sends learn only that the request ran. */
  void StoreAnswer(uint32_t position, std::shared_ptr<const RecordedAnswer> answer);
  /** Drops ended records whose tokens are no longer valid in `epoch`. */
  void Expire(uint32_t epoch);
  size_t Size() const { return m_by_key.size(); }

  static bool IsTokenValid(uint32_t token_epoch, uint32_t epoch) {
    return token_epoch <= epoch && epoch - token_epoch <= kTokenValidEpochs;
  }

 private:
  uint32_t m_record_limit;
  uint64_t m_byte_limit;
  uint64_t m_bytes = 0;
  std::vector<Record> m_records;
  std::vector<uint32_t> m_free;
  absl::flat_hash_map<Key, uint32_t> m_by_key;
  uint32_t m_expired_epoch = 0;
};

}  // namespace sassafras
