#pragma once

#include <cstdint>
#include <string>

namespace sassafras {

/** A value read from the platform's store. */
struct StoredValue {
  bool exists = false;
  /** Store revision of the last change of the key; 0 if the key does not exist. */
  int64_t revision = 0;
  std::string value;
};

}  // namespace sassafras
