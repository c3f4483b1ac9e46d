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
 * Records of the requests whose idempotency key this instance owns.
 *
 * Callers copy an owner token from an address answer, the response that lists instances to callers; the token carries
 * the epoch in which it was issued and is valid for kTokenValidEpochs. A record is kept as long as a token for it may
 * be valid, so that no request is forgotten while it can still be sent again.
 */
class IdempotencyTable {
 public:
  static constexpr std::chrono::minutes kEpochLength{1};
  static constexpr uint32_t kTokenValidEpochs = 10;
  static constexpr uint32_t kNone = UINT32_MAX;

  using Key = std::pair<uint64_t, uint64_t>;

  /** A request that may have been dispatched. */
  struct Record {
    enum class Stage : uint8_t { kRunning, kAnswered, kUnknown };
    Key key;
    uint32_t epoch = 0;
    Stage stage = Stage::kRunning;
    std::shared_ptr<const RecordedAnswer> answer;
    /** Head of the list of calls that wait for the answer. */
    CallHandle first_waiter;
  };

  IdempotencyTable(uint32_t record_limit, uint64_t byte_limit)
      : m_record_limit(record_limit), m_byte_limit(byte_limit) {}

  /** Returns the position of the record, or kNone. */
  uint32_t Find(const Key& key) const;
  /** Adds a record in stage kRunning; returns its position, or kNone if the table is full. */
  uint32_t Add(const Key& key, uint32_t epoch);
  Record& At(uint32_t position) { return m_records[position]; }
  /** Removes the record at `position`, which must have expired or belong to a request that is known not to have run. */
  void Remove(uint32_t position);
  /** Stores the answer if it fits the byte limit; otherwise repeated requests are only told that the request ran. */
  void StoreAnswer(uint32_t position, std::shared_ptr<const RecordedAnswer> answer);
  /** Removes settled records whose tokens are no longer valid in `epoch`. */
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
