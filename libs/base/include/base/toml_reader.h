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
 * Reads one TOML table and checks every key of it.
 *
 * The first problem is kept and names file, line, row and remedy; later reads do nothing. Callers read all
 * keys and then ask for Finish().
 */
class TomlReader {
 public:
  /** @param where  file name and row, as shown in messages */
  TomlReader(const toml::table& table, std::string where);

  std::string String(std::string_view key);
  std::string StringOr(std::string_view key, std::string_view fallback);
  int64_t Integer(std::string_view key, int64_t low, int64_t high);
  int64_t IntegerOr(std::string_view key, int64_t low, int64_t high, int64_t fallback);
  double NumberOr(std::string_view key, double low, double high, double fallback);
  /** Reads a duration written as text with a unit: "250us", "40ms", "2s", "10min". */
  std::chrono::microseconds DurationOr(std::string_view key,
                                       std::chrono::microseconds low,
                                       std::chrono::microseconds high,
                                       std::chrono::microseconds fallback);
  /** Reads one of the given words and returns its position. */
  size_t Word(std::string_view key, std::span<const std::string_view> words, size_t fallback);
  size_t Word(std::string_view key, std::initializer_list<std::string_view> words, size_t fallback) {
    return Word(key, std::span(words.begin(), words.size()), fallback);
  }
  std::vector<std::string> StringsOr(std::string_view key);

  /** Returns the first problem, or an error for a key that nobody read. */
  absl::Status Finish();

 private:
  const toml::node* Find(std::string_view key, bool required);
  void Fail(const toml::node* node, std::string_view what, std::string_view remedy);
  void FailMissing(std::string_view key);

  const toml::table& m_table;
  std::string m_where;
  std::vector<std::string> m_read;
  absl::Status m_status;
};

/** Reads and parses a TOML text; syntax errors name file and line. */
absl::StatusOr<toml::table> ParseToml(std::string_view text, std::string_view file_name);

/** Reads a whole file. */
absl::StatusOr<std::string> ReadFile(const std::string& path);

}  // namespace sassafras
