#pragma once

#include <cstdint>
#include <vector>

#include "call_state.h"

namespace sassafras {

/** Slab of the calls in progress. Positions are reused under a new version. */
class CallTable {
 public:
  CallHandle Add();
  void Remove(CallHandle handle);
  /** Returns the call, or null if it has ended. */
  CallState* Find(CallHandle handle);
  size_t Size() const { return m_size; }

 private:
  std::vector<CallState> m_calls;
  std::vector<uint32_t> m_free;
  size_t m_size = 0;
};

}  // namespace sassafras
