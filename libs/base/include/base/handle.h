#pragma once

#include <cstdint>
#include <functional>
#include <limits>

namespace sassafras {

/**
 * Typed index into a flat table.
 *
 * Handles to different tables are different types. A default-constructed handle is invalid.
 * @tparam Tag  an incomplete type that names the table
 */
template <typename Tag>
class Handle {
 public:
  constexpr Handle() = default;
  constexpr explicit Handle(uint32_t index) : m_index(index) {}

  /** Index into the table; meaningless if the handle is invalid. */
  constexpr uint32_t Index() const { return m_index; }
  /** Whether the handle was constructed with an index. */
  constexpr bool IsValid() const { return m_index != kInvalid; }
  friend constexpr bool operator==(Handle, Handle) = default;

 private:
  static constexpr uint32_t kInvalid = std::numeric_limits<uint32_t>::max();
  uint32_t m_index = kInvalid;
};

using PlanHandle = Handle<struct PlanTag>;
using ServiceHandle = Handle<struct ServiceTag>;
using EndpointHandle = Handle<struct EndpointTag>;
using AccountHandle = Handle<struct AccountTag>;

}  // namespace sassafras
