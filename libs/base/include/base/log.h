#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace sassafras {

/** Severity of a log line. */
enum class LogLevel { kInfo, kWarning, kError };

/** How a line fares when there are more than may be written. */
enum class LogClass {
  /** Start, stop, reload, dependencies, changes of what the process believes. */
  kState,
  /** A request that was refused, failed or sent again. */
  kTrouble,
  /** A request that went well. */
  kRoutine,
};

/** One `key=value` pair of a log line. */
using LogField = std::pair<std::string_view, std::string>;

/**
 * Writes one structured line to standard output: wall time, level, event, then `key=value` pairs.
 * Values with spaces or quotes are quoted.
 *
 * Never waits: a line that the reader does not take at once is dropped. Each class has a budget of lines a second;
 * what was left out is counted, and the next line of that class tells how many.
 */
void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields = {},
         LogClass log_class = LogClass::kState);

/** Whether a line of that class would be written now; spares the work of making one that would not. */
bool MayLog(LogClass log_class);

/** Lines that were left out since the start of the process. */
uint64_t DroppedLogLines();

}  // namespace sassafras
