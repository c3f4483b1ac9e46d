#pragma once

#include <cstdint>
#include <string>

namespace sassafras {

/** Idempotency key of a request, with the instance that alone may run it. */
struct Idempotency {
  /** Whether the request carries a key. */
  bool present = false;
  /** 128-bit hash of plan and key. */
  uint64_t key_high = 0;
  uint64_t key_low = 0;
  /** Name and incarnation of the owner named by the caller. */
  std::string owner;
  uint64_t owner_incarnation = 0;
  /** Epoch of the owner's token; see IdempotencyTable. */
  uint32_t owner_epoch = 0;
};

}  // namespace sassafras
