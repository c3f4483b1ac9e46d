#include "entry/time_left.h"

#include <chrono>
#include <cstdint>

#include <fmt/format.h>

#include "base/error.h"
#include "base/parse_number.h"

namespace sassafras {

absl::StatusOr<Duration> ParseTimeLeft(const HttpDialect::Fields& fields, std::string_view header) {
  const auto value = fields[header];
  if (value.empty())
    return Duration::max();
  uint32_t millis = 0;
  if (!ParseNumber(std::string_view(value.data(), value.size()), millis)) {
    return MakeError(ErrorKind::kInvalidValue, fmt::format("{} is not a whole number", header),
                     "send the milliseconds left, such as 250");
  }
  return std::chrono::milliseconds(millis);
}

}  // namespace sassafras
