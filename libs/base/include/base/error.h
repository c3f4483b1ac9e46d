#pragma once

#include <string>
#include <string_view>

#include <absl/status/status.h>

namespace sassafras {

/** Kinds of errors that the programs of this project report. */
enum class ErrorKind {
  /** A file cannot be read or written. */
  kInaccessibleFile,
  kInvalidSyntax,
  kInvalidValue,
  kUnknownKey,
  kUnreachable,
  kConflict,
  kOutcomeUnknown,
  /** A size limit is exceeded. */
  kLimitExceeded,
  kInternal,
};

/** Returns the stable lower-case name of `kind`, used in logs and JSON output. */
std::string_view ErrorKindName(ErrorKind kind);

/**
 * Builds a status of the given kind.
 * @param what    the problem and its place, such as file, line and row
 * @param remedy  what the operator can do about it
 */
absl::Status MakeError(ErrorKind kind, std::string_view what, std::string_view remedy);

/** Returns the kind that MakeError() gave the status, or kInternal for any other status. */
ErrorKind ErrorKindOf(const absl::Status& status);

/** Returns the message of a status: the problem, then the remedy. */
std::string MessageOf(const absl::Status& status);

}  // namespace sassafras
