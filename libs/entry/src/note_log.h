#pragma once

namespace sassafras {

struct LogRecord;

/** Writes one log line about what this instance has come to believe. */
void WriteNoteLine(const LogRecord& note);

}  // namespace sassafras
