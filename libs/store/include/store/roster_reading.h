#pragma once

#include <cstdint>
#include <vector>

#include "core/member.h"

namespace sassafras {

/** Entry instances that one of them has written down for those that start later. */
struct RosterReading {
  /** Revision of the store at which it was written; 0 if nobody has. */
  uint64_t revision = 0;
  std::vector<Member> members;
};

}  // namespace sassafras
