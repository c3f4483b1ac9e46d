#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sassafras {

/** Whether a request that got no answer from an upstream may have run, as reported to the caller. */
enum class Outcome : uint8_t {
  /** No upstream has run the request or will run it. */
  kNotRun,
  /** The request may have run, or may still be running. */
  kUnknown,
};

/** Reason for an error that an entry instance returns to a caller. */
enum class Reason : uint8_t {
  kNoPlan,
  kNotReady,
  kOverloaded,
  kDeadlineBeforeStart,
  kNoEndpoint,
  kRefusedByUpstreams,
  kConnectFailed,
  kQuarantined,
  kRecordsFull,
  kRedirectToOwner,
  kOwnerMissing,
  kBadOwner,
  kStopping,
  kBadRequest,
  kConnectionBroken,
  kDeadlineWhileRunning,
  kOwnerGone,
  kRecordExpired,
  kEarlierRunUnknown,
  kAnswerNotKept,
  kBadAnswer,
};

/** Size of tables indexed by Reason. */
constexpr size_t kReasonCount = static_cast<size_t>(Reason::kBadAnswer) + 1;

/** Description of a Reason, as reported to callers. */
struct ReasonInfo {
  std::string_view name;
  Outcome outcome;
  /** Status code of the HTTP answer. */
  uint16_t http_status;
  /** What the caller or the operators can do about it. */
  std::string_view remedy;
};

/** Returns the description of `reason`. */
const ReasonInfo& InfoOf(Reason reason);

/** Returns "not_run" or "unknown". */
std::string_view OutcomeName(Outcome outcome);

}  // namespace sassafras
