#pragma once

#include <optional>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "lists/lists.h"
#include "lists/lists_document.h"

namespace sassafras {

/** Folder in which an operator edits both lists, together with the stored document that the edit is based on. */
class WorkingCopy {
 public:
  explicit WorkingCopy(std::string dir);

  /** Reads, parses and validates the edited lists; errors name the faulty row and how to correct it. */
  absl::StatusOr<Lists> Load();
  /** The document that the edit is based on, or nullopt if the folder has none. */
  absl::StatusOr<std::optional<ListsDocument>> Base() const;
  /** Saves `document` as the one that the lists are now based on. */
  absl::Status SaveBase(const ListsDocument& document) const;
  /** Overwrites both lists and the base document in the folder. */
  absl::Status SaveAll(const ListsDocument& document) const;

  const std::string& Plans() const { return m_plans; }
  const std::string& Upstreams() const { return m_upstreams; }

 private:
  std::string PathOf(const char* name) const;

  std::string m_dir;
  std::string m_plans;
  std::string m_upstreams;
};

}  // namespace sassafras
