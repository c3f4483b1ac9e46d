#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "lists/lists_document.h"
#include "lists/text_delta.h"

namespace sassafras {

/** How to make a document from an earlier one; small if the edit was. */
struct ListsDelta {
  uint64_t base_generation = 0;
  uint64_t generation = 0;
  std::string author;
  /** Changes made since the base, oldest first. */
  std::vector<std::string> new_changes;
  TextDelta plans;
  TextDelta upstreams;
  /** Hash of the encoded result. */
  uint64_t result_hash = 0;
};

/** Returns the delta from `base` to `target`, or nothing if `target` does not follow from `base`. */
std::optional<ListsDelta> MakeDelta(const ListsDocument& base, const ListsDocument& target);

/** Applies a delta; an error if it does not fit the base or the result is not what was meant. */
absl::StatusOr<ListsDocument> ApplyDelta(const ListsDocument& base, const ListsDelta& delta);

}  // namespace sassafras
