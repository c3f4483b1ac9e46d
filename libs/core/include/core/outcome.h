#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sassafras {

/** Whether a request that ended with an error of the entry instance may have run, as reported to the caller. */
enum class Outcome : uint8_t {
  /** No upstream has run the request or will run it. */
  kNotRun,
  /** The request may have run, or may still be running. */
  kUnknown,
};

/** Reason for an error that an entry instance returns to a caller. */
enum class Reason : uint8_t {
  /** No active plan matches the request. */
  kNoPlan,
  kNotReady,
  /** No plan of the lists in use matches the request, but there may be newer lists. */
  kListsNotCurrent,
  kOverloaded,
  kDeadlineBeforeStart,
  kNoEndpoint,
  kRefusedByUpstreams,
  kConnectFailed,
  /** The request appears to crash endpoints. */
  kQuarantined,
  /** The table of idempotency records is full. */
  kRecordsFull,
  kRedirectToOwner,
  /** The request has an idempotency key but no owner header. */
  kOwnerMissing,
  /** The owner header or the key is malformed, or the owner token is from a later epoch. */
  kBadOwner,
  kStopping,
  kBadRequest,
  kConnectionBroken,
  kDeadlineWhileRunning,
  /** The instance named in the owner token is unknown, or has restarted since it issued the token. */
  kOwnerGone,
  /** The owner token is no longer valid, so the record of the request may have been removed. */
  kRecordExpired,
  /** An earlier request with the same key may have run. */
  kEarlierRunUnknown,
  /** An earlier request with the same key ran, but its answer was not stored. */
  kAnswerNotKept,
  /** The answer of the endpoint was malformed. */
  kBadAnswer,
  /** The plan needs an API key, and the request has none or one that no account holds. */
  kUnauthorized,
  /** The client account has used up its quota. */
  kOverQuota,
  /** The API key may have been revoked: the lists were not confirmed recently enough. */
  kKeysNotConfirmed,
};

/** Size of tables indexed by Reason. */
constexpr size_t kReasonCount = static_cast<size_t>(Reason::kKeysNotConfirmed) + 1;

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
