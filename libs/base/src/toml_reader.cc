#include "base/toml_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>
#include <utility>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include "base/error.h"

namespace sassafras {
namespace {

using std::chrono::microseconds;

struct Unit {
  std::string_view suffix;
  microseconds length;
};

constexpr std::array<Unit, 5> kUnits = {{
    {"us", microseconds(1)},
    {"ms", microseconds(1'000)},
    {"min", microseconds(60'000'000)},
    {"h", microseconds(3'600'000'000)},
    {"s", microseconds(1'000'000)},
}};

/** Reads a number, which may have a fraction and an exponent, with a unit; rounds to whole microseconds. */
std::optional<microseconds> ParseDuration(std::string_view text) {
  // Small enough for the product with the longest unit to fit into microseconds.
  constexpr double kMaxCount = 1'000'000;
  double count = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
  // Written so that it also rejects "nan".
  const bool in_range = count >= 0 && count <= kMaxCount;
  if (error != std::errc() || !in_range)
    return std::nullopt;
  const std::string_view suffix = text.substr(static_cast<size_t>(end - text.data()));
  for (const Unit& unit : kUnits) {
    if (suffix == unit.suffix)
      return std::chrono::round<microseconds>(count * std::chrono::duration<double, std::micro>(unit.length));
  }
  return std::nullopt;
}

}  // namespace

TomlReader::TomlReader(const toml::table& table, std::string context) : m_table(table), m_context(std::move(context)) {}

const toml::node* TomlReader::FindNode(std::string_view key, bool required) {
  m_known_keys.emplace_back(key);
  const toml::node* node = m_table.get(key);
  if (node == nullptr && required)
    RecordMissingKey(key);
  return node;
}

void TomlReader::RecordError(const toml::node* node, std::string_view what, std::string_view remedy) {
  if (!m_status.ok())
    return;
  const auto line = node != nullptr ? node->source().begin.line : m_table.source().begin.line;
  m_status = MakeError(ErrorKind::kInvalidValue, fmt::format("{} line {}: {}", m_context, line, what), remedy);
}

void TomlReader::RecordMissingKey(std::string_view key) {
  RecordError(nullptr, fmt::format("key '{}' is missing", key), fmt::format("add '{} = ...'", key));
}

std::string TomlReader::String(std::string_view key) {
  const toml::node* node = FindNode(key, true);
  if (node == nullptr)
    return {};
  const auto value = node->value_exact<std::string>();
  if (!value.has_value() || value->empty()) {
    RecordError(node, fmt::format("'{}' is not a string", key), "write a non-empty string in quotes");
    return {};
  }
  return *value;
}

std::string TomlReader::StringOr(std::string_view key, std::string_view fallback) {
  if (m_table.get(key) == nullptr) {
    m_known_keys.emplace_back(key);
    return std::string(fallback);
  }
  return String(key);
}

int64_t TomlReader::Integer(std::string_view key, int64_t min, int64_t max) {
  const toml::node* node = FindNode(key, true);
  if (node == nullptr)
    return min;
  const auto value = node->value_exact<int64_t>();
  if (!value.has_value() || *value < min || *value > max) {
    RecordError(node, fmt::format("'{}' is not a whole number from {} to {}", key, min, max),
                "write a number in that range, without quotes");
    return min;
  }
  return *value;
}

int64_t TomlReader::IntegerOr(std::string_view key, int64_t min, int64_t max, int64_t fallback) {
  if (m_table.get(key) == nullptr) {
    m_known_keys.emplace_back(key);
    return fallback;
  }
  return Integer(key, min, max);
}

double TomlReader::NumberOr(std::string_view key, double min, double max, double fallback) {
  const toml::node* node = FindNode(key, false);
  if (node == nullptr)
    return fallback;
  const auto value = node->is_number() ? node->value<double>() : std::nullopt;
  if (!value.has_value() || !(*value >= min && *value <= max)) {
    RecordError(node, fmt::format("'{}' is not a number from {} to {}", key, min, max),
                "write a number in that range, without quotes");
    return fallback;
  }
  return *value;
}

microseconds TomlReader::DurationOr(std::string_view key, microseconds min, microseconds max, microseconds fallback) {
  const toml::node* node = FindNode(key, false);
  if (node == nullptr)
    return fallback;
  const auto text = node->value_exact<std::string>();
  const auto value = text.has_value() ? ParseDuration(*text) : std::nullopt;
  if (!value.has_value() || *value < min || *value > max) {
    RecordError(node, fmt::format("'{}' is not a duration from {} to {}", key, min, max),
                "write a number with a unit in quotes, such as \"40ms\", \"2.5s\" or \"10min\"");
    return fallback;
  }
  return *value;
}

size_t TomlReader::ChoiceOr(std::string_view key, std::span<const std::string_view> choices, size_t fallback) {
  const toml::node* node = FindNode(key, false);
  if (node == nullptr)
    return fallback;
  const auto value = node->value_exact<std::string>();
  const auto found = value.has_value() ? std::find(choices.begin(), choices.end(), *value) : choices.end();
  if (found == choices.end()) {
    RecordError(node, fmt::format("'{}' is none of {}", key, fmt::join(choices, ", ")),
                "write one of these values in quotes");
    return fallback;
  }
  return static_cast<size_t>(found - choices.begin());
}

std::vector<std::string> TomlReader::StringListOrEmpty(std::string_view key) {
  std::vector<std::string> result;
  const toml::node* node = FindNode(key, false);
  if (node == nullptr)
    return result;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    RecordError(node, fmt::format("'{}' is not a list of strings", key), "write [\"one\", \"two\"]");
    return result;
  }
  for (const toml::node& item : *array) {
    const auto value = item.value_exact<std::string>();
    if (!value.has_value())
      RecordError(&item, fmt::format("'{}' has an element that is not a string", key), "write only strings in quotes");
    else
      result.push_back(*value);
  }
  return result;
}

absl::Status TomlReader::Finish() {
  if (!m_status.ok())
    return m_status;
  for (const auto& [key, node] : m_table) {
    if (std::find(m_known_keys.begin(), m_known_keys.end(), key.str()) != m_known_keys.end())
      continue;
    std::sort(m_known_keys.begin(), m_known_keys.end());
    return MakeError(ErrorKind::kUnknownKey,
                     fmt::format("{} line {}: unknown key '{}'", m_context, key.source().begin.line, key.str()),
                     fmt::format("remove it or use one of: {}", fmt::join(m_known_keys, ", ")));
  }
  return absl::OkStatus();
}

absl::StatusOr<toml::table> ParseToml(std::string_view text, std::string_view file_name) {
  try {
    return toml::parse(text, file_name);
  } catch (const toml::parse_error& error) {
    return MakeError(ErrorKind::kInvalidSyntax,
                     fmt::format("{} line {}: {}", file_name, error.source().begin.line, error.description()),
                     "fix the TOML syntax there");
  }
}

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  if (file)
    text << file.rdbuf();
  if (!file) {
    return MakeError(ErrorKind::kInaccessibleFile, fmt::format("{}: cannot be read", path),
                     "check that the file exists and may be read");
  }
  return text.str();
}

}  // namespace sassafras
