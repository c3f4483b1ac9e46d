#include "base/hash.h"

#include <xxhash.h>

namespace sassafras {

uint64_t Hash64(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

uint64_t HashCombine(uint64_t hash, uint64_t word) {
  return XXH3_64bits_withSeed(&word, sizeof(word), hash);
}

}  // namespace sassafras
