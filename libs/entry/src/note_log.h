#pragma once

namespace sassafras {

struct Note;

/** Writes one log line about what this instance has come to believe. */
void WriteNoteLine(const Note& note);

}  // namespace sassafras
