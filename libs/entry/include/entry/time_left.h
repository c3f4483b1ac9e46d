#pragma once

#include <string_view>

#include <absl/status/statusor.h>

#include "base/clock.h"
#include "entry/http_dialect.h"

namespace sassafras {

/**
 * Reads how long the caller will still wait, in milliseconds, from the header of that name.
 * @return Duration::max() without the header; an error if its value is not a whole number
 */
absl::StatusOr<Duration> ParseTimeLeft(const HttpDialect::Fields& fields, std::string_view header);

}  // namespace sassafras
