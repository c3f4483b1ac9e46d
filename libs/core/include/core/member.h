#pragma once

#include <cstdint>
#include <string>

namespace sassafras {

/** An entry instance, known from the platform's directory, the roster or gossip. */
struct Member {
  std::string name;
  std::string failure_domain;
  /** Address that callers connect to. */
  std::string address;
  /** Address for gossip and RPC from peers. */
  std::string peer_address;
  /** Start time of the process, in microseconds of wall time; 0 if unknown. */
  uint64_t incarnation = 0;
  /** Number of gossip rounds since the start of the process. */
  uint32_t heartbeat = 0;
  /** Epoch of its idempotency tokens. */
  uint32_t epoch = 0;
  bool leaving = false;
  /** Whether its latest read of the platform's store succeeded. */
  bool store_reachable = true;
};

}  // namespace sassafras
