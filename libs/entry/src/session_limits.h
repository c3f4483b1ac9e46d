#pragma once

#include <chrono>
#include <cstddef>

namespace sassafras {

/** Request bodies up to this size are buffered completely, so that they can be sent again; longer ones are streamed. */
constexpr size_t kMaxBufferedRequestBytes = 64u << 10u;
/** Timeout for writing a response that this instance generates, such as an error, a page or a recorded response. */
constexpr std::chrono::seconds kLocalResponseWriteTimeout{5};

}  // namespace sassafras
