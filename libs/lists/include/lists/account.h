#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sassafras {

/** A client account: its API keys, its rank and its quota. */
struct Account {
  std::string name;
  /** Secrets that requests of the account carry; never logged or shown. */
  std::vector<std::string> keys;
  /** Whether `priority` goes before the priority of the plan. */
  bool has_priority = false;
  /** From 0, which is served first, to 9, which is shed first. */
  uint8_t priority = 0;
  /** Requests per second that the whole fleet may run for the account; 0 for no limit. */
  double rate_per_second = 0;
  /** Requests that it may run at once after a quiet time, in addition to the rate. */
  double burst = 0;
};

}  // namespace sassafras
