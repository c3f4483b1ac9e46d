#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "store/plans_defects.h"

namespace sassafras {

struct Lists;

/** The operators' plans as read from the platform's store. */
struct PlansSnapshot {
  /** Store revision that the snapshot reflects. */
  uint64_t as_of = 0;
  /** Generation of the plans; 0 if the store has none or they did not change. */
  uint64_t generation = 0;
  /** Whether the plans changed to ones that cannot be decoded, so that those in force may be outdated. */
  bool is_unusable = false;
  std::shared_ptr<const Lists> lists;
  /** The undecoded document, to pass on to peers. */
  std::string document;
  PlansDefects defects;
};

}  // namespace sassafras
