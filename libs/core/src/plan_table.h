#pragma once

#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/handle.h"
#include "plan_state.h"

namespace sassafras {

/**
 * Plans of the current and of earlier lists, each in a row that is found by its name. A plan that is listed again has
 * its old row, with what was learned about it.
 */
class PlanTable {
 public:
  /** Returns the row of the plan with this name, or a new inactive one. */
  PlanHandle FindOrAdd(const std::string& name);
  /** Marks all plans inactive, before lists are applied. */
  void DeactivateAll();

  PlanState& operator[](PlanHandle handle) { return m_states[handle.Index()]; }
  const PlanState& operator[](PlanHandle handle) const { return m_states[handle.Index()]; }
  std::vector<PlanState>& All() { return m_states; }
  const std::vector<PlanState>& All() const { return m_states; }
  size_t Size() const { return m_states.size(); }

 private:
  std::vector<PlanState> m_states;
  absl::flat_hash_map<std::string, PlanHandle> m_by_name;
};

}  // namespace sassafras
