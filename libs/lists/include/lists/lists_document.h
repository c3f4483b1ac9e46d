#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

namespace sassafras {

/** Largest encoded document, in bytes; the platform's limit for one value. */
constexpr size_t kMaxDocumentBytes = 1'000'000;
/** Most change ids kept in a document; they show whether an earlier change was accepted. */
constexpr size_t kMaxChangeIds = 512;

/** Both list files, stored on the platform under one key so that a change of both is atomic. */
struct ListsDocument {
  /** Incremented by each accepted change; instances only ever switch to a higher generation. */
  uint64_t generation = 0;
  /** Change ids, oldest first; the last one made this document. */
  std::vector<std::string> changes;
  /** Operator who made the last change, as reported by the operators' tool. */
  std::string author;
  std::string plans_toml;
  std::string upstreams_toml;
};

/** Serializes a document as JSON; returns an error if it exceeds kMaxDocumentBytes. */
absl::StatusOr<std::string> EncodeDocument(const ListsDocument& document);

/** Parses a stored document, but not the TOML texts in it. */
absl::StatusOr<ListsDocument> DecodeDocument(std::string_view text);

/** Returns whether `change_id` made this document or, as far as its history goes, an earlier version of it. */
bool HasChange(const ListsDocument& document, std::string_view change_id);

}  // namespace sassafras
