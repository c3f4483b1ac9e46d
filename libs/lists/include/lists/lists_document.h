#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

namespace sassafras {

/** Largest stored document, in bytes: the platform's limit for one value. */
constexpr size_t kMaxDocumentBytes = 1'000'000;
/** Change ids kept in a document, so that a later edit does not hide whether an earlier one took effect. */
constexpr size_t kMaxChangeHistory = 512;

/** Both lists as stored in the platform under one key, so that an edit of both is atomic. */
struct ListsDocument {
  /** Counts accepted changes; instances only ever move to a higher one. */
  uint64_t generation = 0;
  /** Change ids, newest last; the last is the change that made this document. */
  std::vector<std::string> changes;
  /** Who made the change, as given by the operator's tool. */
  std::string author;
  std::string plans_toml;
  std::string upstreams_toml;
};

/** Serializes a document as JSON; an error if it would exceed the platform's value limit. */
absl::StatusOr<std::string> EncodeDocument(const ListsDocument& document);

/** Parses a stored document; does not check the lists in it. */
absl::StatusOr<ListsDocument> DecodeDocument(std::string_view text);

/** Returns whether `change_id` made this document or one it is based on. */
bool HasChange(const ListsDocument& document, std::string_view change_id);

}  // namespace sassafras
