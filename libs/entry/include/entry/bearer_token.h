#pragma once

#include <string_view>

#include "entry/http_dialect.h"

namespace sassafras {

/**
 * Returns the token of `Authorization: Bearer TOKEN` (RFC 6750); empty without one, or if the header is malformed or
 * occurs more than once.
 */
std::string_view ReadBearerToken(const HttpDialect::Fields& fields);

}  // namespace sassafras
