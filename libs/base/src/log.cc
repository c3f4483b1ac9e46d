#include "base/log.h"

#include <chrono>
#include <cstdio>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace sassafras {
namespace {

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \"=\n\t") != std::string_view::npos;
}

void AppendField(fmt::memory_buffer& line, const LogField& field) {
  if (NeedsQuotes(field.second)) {
    fmt::format_to(std::back_inserter(line), " {}={:?}", field.first, field.second);
    return;
  }
  fmt::format_to(std::back_inserter(line), " {}={}", field.first, field.second);
}

}  // namespace

void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  fmt::memory_buffer line;
  fmt::format_to(std::back_inserter(line), "time={:%FT%T}Z level={} event={}", now, LevelName(level), event);
  for (const LogField& field : fields)
    AppendField(line, field);
  line.push_back('\n');
  // One write for the line, so that lines of several threads do not mix.
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace sassafras
