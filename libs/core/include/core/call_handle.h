#pragma once

#include <cstdint>

namespace sassafras {

/** Names one call in progress. A handle kept beyond the end of its call is recognised as stale. */
class CallHandle {
 public:
  constexpr CallHandle() = default;
  constexpr CallHandle(uint32_t index, uint32_t version) : m_index(index), m_version(version) {}

  constexpr uint32_t Index() const { return m_index; }
  /** Changes each time the position is used again; 0 for a default handle. */
  constexpr uint32_t Version() const { return m_version; }
  friend constexpr bool operator==(CallHandle, CallHandle) = default;

 private:
  uint32_t m_index = 0;
  uint32_t m_version = 0;
};

}  // namespace sassafras
