#include "plan_table.h"

namespace sassafras {

PlanHandle PlanTable::FindOrAdd(const std::string& name) {
  const auto [found, added] = m_by_name.try_emplace(name, static_cast<uint32_t>(m_states.size()));
  if (added)
    m_states.emplace_back();
  return found->second;
}

void PlanTable::DeactivateAll() {
  for (PlanState& plan : m_states)
    plan.active = false;
}

}  // namespace sassafras
