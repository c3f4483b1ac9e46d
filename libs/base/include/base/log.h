#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace sassafras {

/** Severity of a log line. */
enum class LogLevel { kInfo, kWarning, kError };

/** Class of a log line; each class has its own rate limit. */
enum class LogClass {
  /** Start, stop, reload, availability of dependencies, and changes of the process's view of the fleet. */
  kState,
  /** A request that was refused, failed, late or retried. */
  kRequestProblem,
  /** A request that was answered in time at the first attempt. */
  kRequestSuccess,
};

/** One `key=value` pair of a log line. */
using LogField = std::pair<std::string_view, std::string>;

/**
 * Writes one structured line to standard output: wall time, level, event, then `key=value` pairs.
 * Values with spaces or quotes are quoted.
 *
 * Never blocks: drops the line if standard output does not accept it at once or the rate limit of its class is
 * exceeded. Dropped lines are counted, and the next line written in that class reports their number.
 */
void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields = {},
         LogClass log_class = LogClass::kState);

/**
 * Returns whether the rate limit admits a line of that class now, so that callers need not build one that would be
 * dropped. If it returns false, the line is counted as dropped.
 */
bool ShouldLog(LogClass log_class);

/** Number of lines dropped since the start of the process. */
uint64_t DroppedLogLines();

}  // namespace sassafras
