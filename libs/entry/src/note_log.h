#pragma once

namespace sassafras {

struct Note;

/** Writes the log line for a change in what this instance knows of endpoints, members or requests. */
void WriteNoteLine(const Note& note);

}  // namespace sassafras
