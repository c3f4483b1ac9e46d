#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace sassafras {

/** Value and metadata of a key, as in etcd. */
struct KeyValue {
  std::string value;
  int64_t create_revision = 0;
  int64_t mod_revision = 0;
  int64_t version = 0;
  int64_t lease = 0;
};

/** All keys of the store at one revision. */
using KeyMap = std::map<std::string, KeyValue>;

}  // namespace sassafras
