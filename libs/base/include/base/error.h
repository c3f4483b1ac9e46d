#pragma once

#include <string>
#include <string_view>

#include <absl/status/status.h>

namespace sassafras {

/** Kinds of failure that programs of this project report. */
enum class ErrorKind {
  kUnreadableFile,
  kInvalidSyntax,
  kInvalidValue,
  kUnknownKey,
  kUnreachable,
  kConflict,
  kOutcomeUnknown,
  kExhausted,
  kInternal,
};

/** Returns the stable lower-case name of `kind`, used in logs and JSON output. */
std::string_view ErrorKindName(ErrorKind kind);

/**
 * Builds a status of the given kind.
 * @param what    what is wrong, with the place (file, line, row)
 * @param remedy  what the reader can do about it
 */
absl::Status MakeError(ErrorKind kind, std::string_view what, std::string_view remedy);

/** Returns the kind a status was built with, or kInternal for statuses from elsewhere. */
ErrorKind ErrorKindOf(const absl::Status& status);

/** Returns the message of a status: what is wrong, then the remedy. */
std::string MessageOf(const absl::Status& status);

}  // namespace sassafras
