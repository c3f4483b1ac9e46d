#pragma once

#include <string>
#include <string_view>

namespace sassafras {

/**
 * Lets an endpoint answer a call with `bytes` and then close the connection.
 * @return the promise that is broken by what the caller is told, or an empty string
 */
std::string CheckAnswerBytes(std::string_view bytes);

}  // namespace sassafras
