#include "working_copy.h"

#include <filesystem>
#include <fstream>
#include <utility>

#include <fmt/format.h>

#include "base/error.h"
#include "base/toml_reader.h"

namespace sassafras {
namespace {

constexpr const char* kPlansFile = "plans.toml";
constexpr const char* kUpstreamsFile = "upstreams.toml";
constexpr const char* kBaseFile = ".sassafras-base.json";

/** Replaces a file atomically: writes a temporary file and renames it. */
absl::Status WriteFile(const std::string& path, const std::string& text) {
  const std::string temporary = path + ".new";
  std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
  file << text;
  file.close();
  std::error_code error;
  if (file)
    std::filesystem::rename(temporary, path, error);
  if (!file || error) {
    return MakeError(ErrorKind::kInaccessibleFile, fmt::format("{}: cannot be written", path),
                     "check that the folder exists and may be written");
  }
  return absl::OkStatus();
}

}  // namespace

WorkingCopy::WorkingCopy(std::string dir) : m_dir(std::move(dir)) {}

std::string WorkingCopy::PathOf(const char* name) const {
  return (std::filesystem::path(m_dir) / name).string();
}

absl::StatusOr<Lists> WorkingCopy::Load() {
  auto plans = ReadFile(PathOf(kPlansFile));
  if (!plans.ok())
    return plans.status();
  auto upstreams = ReadFile(PathOf(kUpstreamsFile));
  if (!upstreams.ok())
    return upstreams.status();
  m_plans = *std::move(plans);
  m_upstreams = *std::move(upstreams);
  return ParseLists(m_plans, m_upstreams);
}

absl::StatusOr<std::optional<ListsDocument>> WorkingCopy::Base() const {
  const std::string path = PathOf(kBaseFile);
  if (!std::filesystem::exists(path))
    return std::optional<ListsDocument>();
  const auto text = ReadFile(path);
  if (!text.ok())
    return text.status();
  auto document = DecodeDocument(*text);
  if (!document.ok()) {
    return MakeError(ErrorKind::kInvalidSyntax, fmt::format("{}: not a stored document", path),
                     "run 'sassafrasctl show' in a new folder and edit there");
  }
  return std::optional<ListsDocument>(*std::move(document));
}

absl::Status WorkingCopy::SaveBase(const ListsDocument& document) const {
  const auto text = EncodeDocument(document);
  if (!text.ok())
    return text.status();
  return WriteFile(PathOf(kBaseFile), *text);
}

absl::Status WorkingCopy::SaveAll(const ListsDocument& document) const {
  absl::Status status = WriteFile(PathOf(kPlansFile), document.plans_toml);
  if (status.ok())
    status = WriteFile(PathOf(kUpstreamsFile), document.upstreams_toml);
  if (status.ok())
    status = SaveBase(document);
  return status;
}

}  // namespace sassafras
