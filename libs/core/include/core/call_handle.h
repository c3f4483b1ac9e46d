#pragma once

#include <cstdint>

namespace sassafras {

/** Identifies a call in progress. A handle that outlives its call is detected as stale. */
class CallHandle {
 public:
  constexpr CallHandle() = default;
  constexpr CallHandle(uint32_t index, uint32_t version) : m_index(index), m_version(version) {}

  constexpr uint32_t Index() const { return m_index; }
  /** Incremented each time the table position is reused; 0 for a default-constructed handle. */
  constexpr uint32_t Version() const { return m_version; }
  friend constexpr bool operator==(CallHandle, CallHandle) = default;

 private:
  uint32_t m_index = 0;
  uint32_t m_version = 0;
};

}  // namespace sassafras
