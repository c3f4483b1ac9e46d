#pragma once

#include <optional>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "lists/lists.h"
#include "lists/lists_document.h"

namespace sassafras {

/** An operator's folder: both lists as edited, and the stored document that they are based on. */
class WorkingCopy {
 public:
  explicit WorkingCopy(std::string dir);

  /** Reads, parses and checks both lists as edited; messages name the row and the remedy. */
  absl::StatusOr<Lists> Load();
  /** The document the edit is based on, if this folder has one. */
  absl::StatusOr<std::optional<ListsDocument>> Base() const;
  /** Remembers the document that the lists now stand for. */
  absl::Status SaveBase(const ListsDocument& document) const;
  /** Writes both lists and their base, replacing what is there. */
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
