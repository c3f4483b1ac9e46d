#include "net/query_encoding.h"

#include <iterator>

#include <absl/strings/ascii.h>
#include <fmt/format.h>

namespace sassafras {
namespace {

/** Characters besides letters and digits that stay as they are: the unreserved ones, and the slash. */
constexpr std::string_view kPlainCharacters = "-._~/";

}  // namespace

std::string EncodeQueryValue(std::string_view value) {
  std::string encoded;
  for (const char byte : value) {
    const auto code = static_cast<unsigned char>(byte);
    if (absl::ascii_isalnum(code) || kPlainCharacters.find(byte) != std::string_view::npos)
      encoded.push_back(byte);
    else
      fmt::format_to(std::back_inserter(encoded), "%{:02X}", code);
  }
  return encoded;
}

}  // namespace sassafras
