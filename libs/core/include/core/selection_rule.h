#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace sassafras {

/** Rules for choosing the endpoint of a call; all but kHotCold are baselines. */
enum class SelectionRule : uint8_t {
  kRandom,
  kRoundRobin,
  kLeastInFlight,
  kPowerOfTwo,
  kPeakEwma,
  kHotCold,
};

/** Returns the rule with the given name in settings, such as "hot_cold". */
std::optional<SelectionRule> ParseSelectionRule(std::string_view name);

}  // namespace sassafras
