#pragma once

#include <chrono>
#include <cstdint>

namespace sassafras {

/** What an endpoint was chosen on, for logs. */
struct DispatchBasis {
  /** Which attempt of the call this is, from 1 on. */
  uint8_t attempt = 1;
  bool hedge = false;
  /** Endpoints that were asked, and how many of them answered in time. */
  uint8_t asked = 0;
  uint8_t answered = 0;
  /** Estimated time of the attempt; 0 if no endpoint answered. */
  std::chrono::microseconds estimate{};
  /** Slowdown that the endpoint had reported, and how old that report is. */
  float slowdown = 1.0F;
  std::chrono::microseconds report_age{};
};

}  // namespace sassafras
