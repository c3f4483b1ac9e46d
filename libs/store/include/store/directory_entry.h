#pragma once

#include <cstdint>
#include <string>

namespace sassafras {

/** One instance in the platform's list. */
struct DirectoryEntry {
  enum class Kind : uint8_t { kEntry, kUpstream };
  Kind kind = Kind::kEntry;
  std::string name;
  std::string failure_domain;
  std::string address;
  /** For entry instances only. */
  std::string peer_address;
  uint64_t incarnation = 0;
  bool leaving = false;
};

}  // namespace sassafras
