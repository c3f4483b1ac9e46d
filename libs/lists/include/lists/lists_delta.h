#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "lists/lists_document.h"
#include "lists/text_delta.h"

namespace sassafras {

/** Difference between a document and an earlier one; a small edit gives a small delta. */
struct ListsDelta {
  uint64_t base_generation = 0;
  uint64_t generation = 0;
  std::string author;
  /** Ids of the changes made after the base, oldest first. */
  std::vector<std::string> new_changes;
  TextDelta plans;
  TextDelta upstreams;
  /** Hash64() of the encoded target document, to verify the result. */
  uint64_t result_hash = 0;
};

/** Returns the delta from `base` to `target`, or nothing if `target` is not a later version of `base`. */
std::optional<ListsDelta> MakeDelta(const ListsDocument& base, const ListsDocument& target);

/** Applies a delta; returns an error if it was made from another base or the result does not match its hash. */
absl::StatusOr<ListsDocument> ApplyDelta(const ListsDocument& base, const ListsDelta& delta);

}  // namespace sassafras
