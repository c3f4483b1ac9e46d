#pragma once

#include <charconv>
#include <string_view>
#include <system_error>

namespace sassafras {

/**
 * Parses an integer that spans all of `text`; returns false if it is not one or does not fit into `value`. Even then
 * `value` may have changed: it is set to the leading digits if other characters follow them.
 */
template <typename Number>
bool ParseNumber(std::string_view text, Number& value, int base = 10) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value, base);
  return !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
}

}  // namespace sassafras
