#pragma once

#include <cstdint>
#include <string>

namespace sassafras {

/** One instance in the platform's directory. */
struct DirectoryEntry {
  enum class Kind : uint8_t { kEntry, kUpstream };
  Kind kind = Kind::kEntry;
  std::string name;
  std::string failure_domain;
  std::string address;
  /** Where entry instances accept gossip and RPC; empty for upstreams. */
  std::string peer_address;
  uint64_t incarnation = 0;
  bool leaving = false;
};

}  // namespace sassafras
