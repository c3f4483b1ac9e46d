#pragma once

#include "hedge_allowance.h"

namespace sassafras {

/** What a service knows for the hedges of all its plans. */
struct ServiceHedging {
  HedgeAllowance allowance;
  /** Moving average of the share of calls whose first attempt was late; see PlanHedging::late_after. */
  float late_share = 0;
};

}  // namespace sassafras
