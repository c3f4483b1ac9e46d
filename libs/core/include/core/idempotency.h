#pragma once

#include <cstdint>
#include <string>

namespace sassafras {

/** Idempotency key of a request, and the only instance that may run the request. */
struct Idempotency {
  /** Whether the request carries a key. */
  bool present = false;
  /** 128-bit hash of the method, the path and the key. */
  uint64_t key_high = 0;
  uint64_t key_low = 0;
  /** Name and incarnation of the owner that the caller named. */
  std::string owner;
  uint64_t owner_incarnation = 0;
  /** Epoch in which the owner issued the caller's token; see IdempotencyTable. */
  uint32_t owner_epoch = 0;
};

}  // namespace sassafras
