#pragma once

#include <string>
#include <string_view>

namespace sassafras {

/**
 * Percent-encodes a value for the query of a request target. Slashes stay as they are: they are allowed there.
 * Source: RFC 3986, sections 2.1 and 3.4.
 */
std::string EncodeQueryValue(std::string_view value);

}  // namespace sassafras
