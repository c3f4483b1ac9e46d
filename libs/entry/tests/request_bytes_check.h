#pragma once

#include <string>
#include <string_view>

namespace sassafras {

/**
 * Lets a caller send `bytes` on one connection and then close its sending side.
 * @return the promise that is broken by what an endpoint receives, or an empty string
 */
std::string CheckRequestBytes(std::string_view bytes);

}  // namespace sassafras
