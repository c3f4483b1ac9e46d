#pragma once

#include <cstddef>
#include <cstdint>

#include "core/effect.h"

namespace sassafras {

/** Hash over the effects of a simulated fleet in their order. Two runs with the same seed must agree on it. */
class EffectsDigest {
 public:
  /** Adds the effects that an instance requested. */
  void Add(size_t instance, const Effects& effects);
  uint64_t Value() const { return m_value; }

 private:
  uint64_t m_value = 0;
};

}  // namespace sassafras
