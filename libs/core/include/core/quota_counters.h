#pragma once

#include <cstdint>

namespace sassafras {

/** Counters of the quotas of accounts since the start of the process. */
struct QuotaCounters {
  /** Tokens that this instance requested from owners of shards, itself included, and what came of it. */
  uint64_t tokens_requested = 0;
  uint64_t tokens_granted = 0;
  /** Calls rejected because their account was over its quota. */
  uint64_t calls_denied = 0;
  /** Calls admitted from the local share because no owner replied. */
  uint64_t fallback_admissions = 0;
};

}  // namespace sassafras
