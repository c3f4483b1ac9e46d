#pragma once

#include <cstdint>

namespace sassafras {

/**
 * Revisions of the platform's store that can be compared across restores.
 *
 * A store that was restored from a copy gives out some revision numbers a second time, and counts its restores. The
 * upper bits of a revision hold that count (the era), so that every revision after a restore is above all before it.
 * Era 0 means that the era is unknown, because the store does not report it or the read may lag behind.
 */
constexpr int kRevisionNumberBits = 48;
constexpr uint64_t kRevisionNumberMask = (uint64_t{1} << kRevisionNumberBits) - 1;

/** Combines an era with a revision number of the store. */
constexpr uint64_t MakeStoreRevision(uint64_t era, uint64_t number) {
  return era << kRevisionNumberBits | (number & kRevisionNumberMask);
}

/** Era of a revision; 0 if unknown. */
constexpr uint64_t EraOf(uint64_t revision) {
  return revision >> kRevisionNumberBits;
}

/** Number that the store gave to a revision. */
constexpr uint64_t RevisionNumber(uint64_t revision) {
  return revision & kRevisionNumberMask;
}

}  // namespace sassafras
