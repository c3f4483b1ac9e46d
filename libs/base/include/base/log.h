#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace sassafras {

/** Severity of a log line. */
enum class LogLevel { kInfo, kWarning, kError };

/** One `key=value` pair of a log line. */
using LogField = std::pair<std::string_view, std::string>;

/**
 * Writes one structured line to standard error: wall time, level, event, then `key=value` pairs.
 * Values with spaces or quotes are quoted. Lines are for changes of state only; what happens for each
 * call is counted instead.
 */
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

}  // namespace sassafras
