#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace sassafras {

/** Compresses `bytes` as a zlib stream, fast rather than small. */
std::string Deflate(std::string_view bytes);

/**
 * Expands a zlib stream, whose checksum must match.
 * @param size_limit  most bytes of the result
 * @return the bytes; error kInvalidSyntax if the stream is damaged or cut off, kLimitExceeded beyond `size_limit`
 */
absl::StatusOr<std::string> Inflate(std::string_view stream, size_t size_limit);

}  // namespace sassafras
