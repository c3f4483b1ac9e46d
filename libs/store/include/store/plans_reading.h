#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace sassafras {

struct Lists;

/** The operators' plans as the platform's store holds them. */
struct PlansReading {
  /** Revision of the store up to which the reading speaks. */
  uint64_t as_of = 0;
  /** Generation of the plans; 0 if there are none, or none that changed. */
  uint64_t generation = 0;
  std::shared_ptr<const Lists> lists;
  /** The plans as the store holds them, to be passed on to peers. */
  std::string document;
};

}  // namespace sassafras
