#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace sassafras {

/** Algorithm that selects the endpoint of a call. The rules other than kHotCold are baselines for comparison. */
enum class SelectionRule : uint8_t {
  kRandom,
  kRoundRobin,
  kLeastInFlight,
  kPowerOfTwo,
  kPeakEwma,
  /**
   * Compares random samples. Endpoints with a utilization up to a threshold are preferred and scored by latency and
   * utilization; the others, the hot ones, are scored by utilization alone.
   */
  kHotCold,
};

/** Returns the rule with the given name as used in the settings, such as "hot_cold"; nullopt if there is none. */
std::optional<SelectionRule> ParseSelectionRule(std::string_view name);

}  // namespace sassafras
