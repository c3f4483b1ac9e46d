#pragma once

#include <cstdint>
#include <string_view>

namespace sassafras {

/** Returns the 64-bit XXH3 hash of `bytes`; the same on every instance, so it may be sent to peers. */
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

/** Returns the hash of `word` seeded with `hash`. */
uint64_t HashCombine(uint64_t hash, uint64_t word);

}  // namespace sassafras
