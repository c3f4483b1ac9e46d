#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <toml++/toml.h>

namespace sassafras {

/**
 * Reads the values of one TOML table and rejects unknown keys.
 *
 * Callers read all keys and then call Finish(), which returns the first error. Errors name file, row, line and remedy.
 * A failed read returns the fallback if there is one, otherwise an empty value or `min`.
 */
class TomlReader {
 public:
  /** @param context  file name and row, for error messages */
  TomlReader(const toml::table& table, std::string context);

  std::string String(std::string_view key);
  std::string StringOr(std::string_view key, std::string_view fallback);
  int64_t Integer(std::string_view key, int64_t min, int64_t max);
  int64_t IntegerOr(std::string_view key, int64_t min, int64_t max, int64_t fallback);
  double NumberOr(std::string_view key, double min, double max, double fallback);
  /** Reads a duration written as a string with a unit: "250us", "40ms", "2.5s", "10min". */
  std::chrono::microseconds DurationOr(std::string_view key,
                                       std::chrono::microseconds min,
                                       std::chrono::microseconds max,
                                       std::chrono::microseconds fallback);
  /** Reads one of the given choices and returns its index, or the index `fallback` if the key is missing. */
  size_t ChoiceOr(std::string_view key, std::span<const std::string_view> choices, size_t fallback);
  size_t ChoiceOr(std::string_view key, std::initializer_list<std::string_view> choices, size_t fallback) {
    return ChoiceOr(key, std::span(choices.begin(), choices.size()), fallback);
  }
  std::vector<std::string> StringListOrEmpty(std::string_view key);

  /** Returns the first error, or an error for the first key in the table that was never read. */
  absl::Status Finish();

 private:
  const toml::node* FindNode(std::string_view key, bool required);
  void RecordError(const toml::node* node, std::string_view what, std::string_view remedy);
  void RecordMissingKey(std::string_view key);

  const toml::table& m_table;
  std::string m_context;
  std::vector<std::string> m_known_keys;
  absl::Status m_status;
};

/** Parses a TOML text; syntax errors name file and line. */
absl::StatusOr<toml::table> ParseToml(std::string_view text, std::string_view file_name);

/** Reads a whole file. */
absl::StatusOr<std::string> ReadFile(const std::string& path);

}  // namespace sassafras
