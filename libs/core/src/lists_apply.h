#pragma once

#include "base/clock.h"

namespace sassafras {

struct Lists;
struct Parts;

/** Puts lists into force. Calls in progress and what was learned of unchanged rows stay. */
void ApplyLists(Parts& parts, const Lists& lists, TimePoint now);

}  // namespace sassafras
