#pragma once

#include <cstdint>
#include <vector>

#include "core/member.h"

namespace sassafras {

/** List of entry instances, which one of them writes to the store so that later ones find their peers. */
struct RosterSnapshot {
  /** Store revision of the last write; 0 if there was none. */
  uint64_t revision = 0;
  std::vector<Member> members;
};

}  // namespace sassafras
