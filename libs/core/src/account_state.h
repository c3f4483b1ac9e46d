#pragma once

#include <cstdint>

#include "lists/account.h"

namespace sassafras {

/** A client account, as the lists describe it. */
struct AccountState {
  Account config;
  uint64_t name_hash = 0;
  /** Whether the lists in use hold the account. */
  bool active = false;
};

}  // namespace sassafras
