#include "idempotency_table.h"

namespace sassafras {
namespace {

uint64_t BytesOf(const RecordedAnswer& answer) {
  uint64_t bytes = sizeof(answer) + answer.body.size();
  for (const auto& [name, value] : answer.headers)
    bytes += name.size() + value.size();
  return bytes;
}

}  // namespace

uint32_t IdempotencyTable::Find(const Key& key) const {
  const auto found = m_by_key.find(key);
  return found == m_by_key.end() ? kNone : found->second;
}

uint32_t IdempotencyTable::Add(const Key& key, uint32_t epoch) {
  if (m_by_key.size() >= m_record_limit)
    return kNone;
  if (m_free.empty()) {
    m_free.push_back(static_cast<uint32_t>(m_records.size()));
    m_records.emplace_back();
  }
  const uint32_t position = m_free.back();
  m_free.pop_back();
  m_records[position] = Record();
  m_records[position].key = key;
  m_records[position].epoch = epoch;
  m_by_key.emplace(key, position);
  return position;
}

void IdempotencyTable::Remove(uint32_t position) {
  Record& record = m_records[position];
  if (record.answer != nullptr)
    m_bytes -= BytesOf(*record.answer);
  record.answer.reset();
  m_by_key.erase(record.key);
  m_free.push_back(position);
}

void IdempotencyTable::StoreAnswer(uint32_t position, std::shared_ptr<const RecordedAnswer> answer) {
  Record& record = m_records[position];
  record.stage = Record::Stage::kAnswered;
  if (answer == nullptr)
    return;
  const uint64_t bytes = BytesOf(*answer);
  if (m_bytes + bytes > m_byte_limit)
    return;
  m_bytes += bytes;
  record.answer = std::move(answer);
}

void IdempotencyTable::Expire(uint32_t epoch) {
  if (epoch == m_expired_epoch)
    return;
  m_expired_epoch = epoch;
  std::vector<uint32_t> expired;
  for (const auto& [key, position] : m_by_key) {
    const Record& record = m_records[position];
    if (record.stage != Record::Stage::kRunning && !IsTokenValid(record.epoch, epoch))
      expired.push_back(position);
  }
  for (const uint32_t position : expired)
    Remove(position);
}

}  // namespace sassafras
