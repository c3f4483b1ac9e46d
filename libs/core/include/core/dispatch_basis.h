#pragma once

#include <chrono>
#include <cstdint>

namespace sassafras {

/** Data on which the choice of the endpoint of an attempt, or the rejection of a call, was based; for the call log. */
struct DispatchBasis {
  /** Number of the attempt within its call, starting at 1. */
  uint8_t attempt = 1;
  bool hedge = false;
  /** Number of endpoints probed for their load, and how many of them answered in time. */
  uint8_t asked = 0;
  uint8_t answered = 0;
  /** Estimated duration of the attempt; 0 if the chosen endpoint did not answer a load probe. */
  std::chrono::microseconds estimate{};
  /** Slowdown that the endpoint last reported, and the age of that report. */
  float slowdown = 1.0F;
  std::chrono::microseconds report_age{};
  /** Share of the endpoint's slots in use with the attempt, from its probe answer; 0 if not known. */
  float utilization = 0;
};

}  // namespace sassafras
