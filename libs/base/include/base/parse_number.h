#pragma once

#include <charconv>
#include <string_view>
#include <system_error>

namespace sassafras {

/** Reads a whole number that takes up all of `text`; returns whether it is one and fits. */
template <typename Number>
bool ParseNumber(std::string_view text, Number& value, int base = 10) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value, base);
  return !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
}

}  // namespace sassafras
