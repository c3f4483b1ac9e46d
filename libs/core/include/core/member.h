#pragma once

#include <cstdint>
#include <string>

namespace sassafras {

/** An entry instance as named by the platform's list or by gossip. */
struct Member {
  std::string name;
  std::string failure_domain;
  /** Where callers connect. */
  std::string address;
  /** Where peers send gossip and RPC. */
  std::string peer_address;
  /** Start of the process, in microseconds of wall time; 0 if unknown. */
  uint64_t incarnation = 0;
  /** Number of gossip rounds the process has made. */
  uint32_t heartbeat = 0;
  /** Epoch of its idempotency tokens. */
  uint32_t epoch = 0;
  bool leaving = false;
  /** Whether its latest read of the platform's store succeeded. */
  bool store_reachable = true;
};

}  // namespace sassafras
