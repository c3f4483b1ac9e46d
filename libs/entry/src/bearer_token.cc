#include "entry/bearer_token.h"

#include <algorithm>
#include <iterator>

namespace sassafras {

std::string_view ReadBearerToken(const HttpDialect::Fields& fields) {
  constexpr std::string_view kScheme = "Bearer ";
  const auto [first, end] = fields.equal_range(boost::beast::http::field::authorization);
  if (first == end || std::next(first) != end)
    return {};
  const std::string_view value(first->value().data(), first->value().size());
  const std::string_view scheme = value.substr(0, kScheme.size());
  if (!boost::beast::iequals({scheme.data(), scheme.size()}, {kScheme.data(), kScheme.size()}))
    return {};
  std::string_view token = value.substr(kScheme.size());
  token.remove_prefix(std::min(token.find_first_not_of(' '), token.size()));
  return token.find_first_of(" \t") == std::string_view::npos ? token : std::string_view();
}

}  // namespace sassafras
