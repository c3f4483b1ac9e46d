#pragma once

#include "base/clock.h"

namespace sassafras {

struct Lists;
struct Parts;

/** Puts lists into force. Calls in progress and what was learned of unchanged rows stay. */
void ApplyLists(Parts& parts, const Lists& lists, TimePoint now);

/** Gives each service its part of what the fleet may spend on extra attempts. */
void SetBudgets(Parts& parts);

/** Gives every service a new budget, after the settings have changed. */
void ResetBudgets(Parts& parts);

/** Puts the endpoints that the platform's store lists into force. */
void ApplyDiscovered(Parts& parts, TimePoint now);

}  // namespace sassafras
