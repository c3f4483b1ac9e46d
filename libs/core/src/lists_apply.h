#pragma once

#include "base/clock.h"

namespace sassafras {

struct Lists;
struct StateParts;

/** Numbers of endpoints in its own and in other failure domains that an instance uses of one service. */
struct SubsetSizes {
  size_t same_domain = 0;
  size_t other_domain = 0;
};

/** Returns how many endpoints an instance uses if it can use these numbers of endpoints. */
SubsetSizes SubsetSizesFor(size_t same_domain, size_t other_domain);

/**
 * Applies lists: a version of the operators' configuration of plans, services, endpoints and limits. Calls in progress
 * and learned state of unchanged plans, services and endpoints are kept.
 */
void ApplyLists(StateParts& parts, const Lists& lists, TimePoint now);

/** Sets the retry and hedge budgets of each service to this instance's share of the fleet's. */
void UpdateBudgets(StateParts& parts);

/** Replaces the retry and hedge budgets of every service after a change of the settings. */
void ResetBudgets(StateParts& parts);

/** Applies the endpoints listed in the platform's store. */
void ApplyDiscoveredEndpoints(StateParts& parts, TimePoint now);

}  // namespace sassafras
