#include "exit_code.h"

#include "base/error.h"

namespace sassafras {

ExitCode ExitCodeFor(const absl::Status& status) {
  switch (ErrorKindOf(status)) {
    case ErrorKind::kInaccessibleFile:
    case ErrorKind::kInvalidSyntax:
    case ErrorKind::kInvalidValue:
    case ErrorKind::kUnknownKey:
    case ErrorKind::kLimitExceeded:
      return ExitCode::kInvalidInput;
    case ErrorKind::kUnreachable:
      return ExitCode::kUnreachable;
    case ErrorKind::kConflict:
      return ExitCode::kConflict;
    case ErrorKind::kOutcomeUnknown:
      return ExitCode::kOutcomeUnknown;
    case ErrorKind::kInternal:
      break;
  }
  return ExitCode::kInternal;
}

}  // namespace sassafras
