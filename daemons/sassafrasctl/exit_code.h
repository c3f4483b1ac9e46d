#pragma once

#include <absl/status/status.h>

namespace sassafras {

/** Exit codes of sassafrasctl; documented in --help and docs/OPERATORS.md. */
enum class ExitCode : int {
  kDone = 0,
  kInternal = 1,
  kUsage = 2,
  kInvalidInput = 3,
  kUnreachable = 4,
  kConflict = 5,
  kOutcomeUnknown = 6,
  kNotInForce = 7,
  /** Of `check FILE`, which has three exit codes of its own: 0, and these. */
  kFindings = 1,
  kUnusable = 2,
};

/** Returns the exit code for the error kind of a failed status. */
ExitCode ExitCodeFor(const absl::Status& status);

}  // namespace sassafras
