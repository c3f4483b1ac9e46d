#include "call_table.h"

namespace sassafras {

CallHandle CallTable::Add() {
  if (m_free.empty()) {
    m_free.push_back(static_cast<uint32_t>(m_calls.size()));
    m_calls.emplace_back();
  }
  const uint32_t index = m_free.back();
  m_free.pop_back();
  const uint32_t version = m_calls[index].version + 1;
  m_calls[index] = CallState();
  m_calls[index].version = version;
  m_calls[index].stage = CallState::Stage::kWaiting;
  ++m_size;
  return {index, version};
}

void CallTable::Remove(CallHandle handle) {
  CallState* call = Find(handle);
  if (call == nullptr)
    return;
  call->stage = CallState::Stage::kFree;
  m_free.push_back(handle.Index());
  --m_size;
}

CallState* CallTable::Find(CallHandle handle) {
  if (handle.Index() >= m_calls.size())
    return nullptr;
  CallState& call = m_calls[handle.Index()];
  const bool current = call.version == handle.Version() && call.stage != CallState::Stage::kFree;
  return current ? &call : nullptr;
}

}  // namespace sassafras
