#pragma once

namespace sassafras {

struct LogRecord;

/** Writes the log line for a change in what this instance knows of endpoints, members or requests. */
void WriteLogRecordLine(const LogRecord& record);

}  // namespace sassafras
