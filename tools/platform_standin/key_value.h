#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace sassafras {

/** One stored key of the platform stand-in. */
struct KeyValue {
  std::string value;
  int64_t create_revision = 0;
  int64_t mod_revision = 0;
  int64_t version = 0;
  int64_t lease = 0;
};

/** All keys at one revision. */
using KeyMap = std::map<std::string, KeyValue>;

}  // namespace sassafras
