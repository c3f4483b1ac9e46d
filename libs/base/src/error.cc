#include "base/error.h"

#include <array>
#include <cstddef>

#include <absl/strings/cord.h>
#include <fmt/format.h>

namespace sassafras {
namespace {

/** Type URL of the status payload that holds the name of the error kind. */
constexpr absl::string_view kErrorKindTypeUrl = "sassafraspath/error-kind";

struct KindInfo {
  ErrorKind kind;
  std::string_view name;
  absl::StatusCode code;
};

/** Indexed by ErrorKind. */
constexpr std::array<KindInfo, 9> kKinds = {{
    {ErrorKind::kInaccessibleFile, "unreadable_file", absl::StatusCode::kNotFound},
    {ErrorKind::kInvalidSyntax, "invalid_syntax", absl::StatusCode::kInvalidArgument},
    {ErrorKind::kInvalidValue, "invalid_value", absl::StatusCode::kInvalidArgument},
    {ErrorKind::kUnknownKey, "unknown_key", absl::StatusCode::kInvalidArgument},
    {ErrorKind::kUnreachable, "unreachable", absl::StatusCode::kUnavailable},
    {ErrorKind::kConflict, "conflict", absl::StatusCode::kAborted},
    {ErrorKind::kOutcomeUnknown, "outcome_unknown", absl::StatusCode::kUnknown},
    {ErrorKind::kLimitExceeded, "exhausted", absl::StatusCode::kResourceExhausted},
    {ErrorKind::kInternal, "internal", absl::StatusCode::kInternal},
}};

const KindInfo& KindInfoOf(ErrorKind kind) {
  return kKinds[static_cast<size_t>(kind)];
}

}  // namespace

std::string_view ErrorKindName(ErrorKind kind) {
  return KindInfoOf(kind).name;
}

absl::Status MakeError(ErrorKind kind, std::string_view what, std::string_view remedy) {
  absl::Status status(KindInfoOf(kind).code, fmt::format("{}; {}", what, remedy));
  status.SetPayload(kErrorKindTypeUrl, absl::Cord(std::string(KindInfoOf(kind).name)));
  return status;
}

ErrorKind ErrorKindOf(const absl::Status& status) {
  auto payload = status.GetPayload(kErrorKindTypeUrl);
  if (!payload.has_value())
    return ErrorKind::kInternal;
  const std::string name(*payload);
  for (const KindInfo& row : kKinds) {
    if (name == row.name)
      return row.kind;
  }
  return ErrorKind::kInternal;
}

std::string MessageOf(const absl::Status& status) {
  return std::string(status.message());
}

}  // namespace sassafras
