#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sassafras {

/** What a caller is told of a request that got no answer from an upstream. */
enum class Outcome : uint8_t {
  /** No upstream ran the request, nor will one. */
  kNotRun,
  /** The request may have run, or may still be running. */
  kUnknown,
};

/** Why a caller gets an error from an entry instance. */
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

/** Number of reasons, for tables indexed by Reason. */
constexpr size_t kReasonCount = static_cast<size_t>(Reason::kBadAnswer) + 1;

/** What a reason means to a caller. */
struct ReasonInfo {
  std::string_view name;
  Outcome outcome;
  /** Status code of the HTTP answer. */
  uint16_t http_status;
  /** What the caller or operator can do. */
  std::string_view remedy;
};

/** Returns the fixed description of `reason`. */
const ReasonInfo& InfoOf(Reason reason);

/** Returns "not_run" or "unknown". */
std::string_view OutcomeName(Outcome outcome);

}  // namespace sassafras
