#include "quota_state.h"

#include <algorithm>
#include <utility>

namespace sassafras {

void QuotaStock::Add(uint32_t count, TimePoint expires_at, TimePoint now) {
  if (count == 0 || expires_at <= now)
    return;
  // With no free batch, the tokens join the one that expires first, so that none is used too late.
  Batch* target = m_batches.data();
  for (Batch& batch : m_batches) {
    if (batch.expires_at <= now)
      batch = {};
    if (batch.expires_at < target->expires_at)
      target = &batch;
  }
  target->count += count;
  target->expires_at = target->expires_at == TimePoint() ? expires_at : std::min(target->expires_at, expires_at);
}

bool QuotaStock::Has(TimePoint now) const {
  return std::any_of(m_batches.begin(), m_batches.end(),
                     [now](const Batch& batch) { return batch.count > 0 && batch.expires_at > now; });
}

TimePoint QuotaStock::Take(TimePoint now) {
  Batch* first = nullptr;
  for (Batch& batch : m_batches) {
    const bool usable = batch.count > 0 && batch.expires_at > now;
    if (usable && (first == nullptr || batch.expires_at < first->expires_at))
      first = &batch;
  }
  if (first == nullptr)
    return {};
  --first->count;
  const TimePoint expires_at = first->expires_at;
  if (first->count == 0)
    *first = {};
  return expires_at;
}

size_t QuotaState::Bytes() const {
  size_t bytes = shards.Bytes() + clients.capacity() * sizeof(clients[0]) + peers.capacity() * sizeof(QuotaPeer);
  for (const std::unique_ptr<QuotaClient>& client : clients) {
    if (client != nullptr)
      bytes += sizeof(QuotaClient) + client->waiting.capacity() * sizeof(CallHandle);
  }
  return bytes;
}

}  // namespace sassafras
