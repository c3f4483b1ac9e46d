#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/handle.h"
#include "core/call_handle.h"
#include "core/dispatch_basis.h"
#include "core/log_record.h"
#include "core/member.h"
#include "core/outcome.h"

namespace sassafras {

struct GossipMessage;
struct RecordedAnswer;

/** An action that the reducer requests. Effects are plain data; the I/O layer executes them in order. */
struct Effect {
  /** The call was accepted under this handle. Precedes every other effect of the call. */
  struct Accepted {
    uint64_t ticket = 0;
    CallHandle call;
  };
  /** Send the request to the endpoint; the outcome is reported as Event::AttemptEnded. */
  struct Dispatch {
    uint64_t ticket = 0;
    CallHandle call;
    EndpointHandle endpoint;
    TimePoint deadline;
    /** When to report Event::HedgeDue; TimePoint::max() for never. */
    TimePoint hedge_at;
    /** Whether the answer must be kept for the idempotency record of the call. */
    bool record_answer = false;
    DispatchBasis basis;
  };
  /** Reject the call with `reason`; the call has ended. */
  struct Reject {
    uint64_t ticket = 0;
    Reason reason = Reason::kNoPlan;
    /** Address of the owner for Reason::kRedirectToOwner. */
    std::string owner_address;
    /** Suggested delay before the caller retries; zero if unknown. */
    std::chrono::milliseconds retry_after{};
    /** Endpoint data that the decision was based on; `estimate` is the best one. */
    DispatchBasis basis;
  };
  /** Send a recorded answer to the caller; the call has ended. */
  struct SendRecordedAnswer {
    uint64_t ticket = 0;
    std::shared_ptr<const RecordedAnswer> answer;
  };
  /** Send a probe now. The probe is dropped if it cannot be sent by `not_after`. */
  struct SendProbe {
    EndpointHandle endpoint;
    TimePoint not_after;
    /** The call that waits for the answer; a default-constructed handle if there is none. */
    CallHandle call;
  };
  /** Report Event::ProbeWaitExpired for the call at `at`. */
  struct ArmProbeWaitTimer {
    uint64_t ticket = 0;
    TimePoint at;
  };
  /** Read the endpoints listed in the platform's store. */
  struct ReadEndpoints {
    /** Whether to read all endpoints, not only the changes after `after_revision`. */
    bool whole = false;
    /** Longest time to wait for a change. */
    std::chrono::milliseconds wait{};
    /** Revision of the store after which changes are requested. */
    uint64_t after_revision = 0;
    /** Address of a peer that can answer instead of the store; empty for none. */
    std::string peer_address;
    /**
     * Whether to query the peer before the store, for at most `peer_timeout`. Otherwise the peer is queried only if the
     * store does not answer.
     */
    bool peer_first = false;
    std::chrono::milliseconds peer_timeout{500};
    /** Whether slightly stale data is acceptable. */
    bool may_lag = false;
  };
  /** Read the roster of entry instances from the platform's store. */
  struct ReadRoster {};
  /** Write the roster to the platform's store, for instances that start later. */
  struct WriteRoster {
    std::vector<Member> members;
  };
  struct SendGossip {
    std::string peer_address;
    std::shared_ptr<const GossipMessage> message;
  };
  /** Fetch lists from a peer if it has a newer generation than this instance. */
  struct FetchLists {
    std::string peer_address;
    /** Generation that the peer has; 0 if unknown. */
    uint64_t generation = 0;
  };
  /** Read the lists and the directory of instances from the platform's store once. */
  struct PollStore {
    /** Whether slightly stale data is acceptable: such a read is much cheaper but does not confirm the generation. */
    bool may_lag = false;
  };
  /** Open or close the watch on the store. */
  struct WatchStore {
    bool on = false;
  };
  /** Write this instance's lists back to the store, which holds an older generation. */
  struct RestoreLists {
    uint64_t generation = 0;
  };
  /** Request the lease of a probe seat from the platform, or renew it. */
  struct ClaimSeat {
    uint32_t seat = 0;
  };
  /** Release the lease of a probe seat. */
  struct ReleaseSeat {
    uint32_t seat = 0;
  };
  /** Stop accepting connections, close idle ones and exit after the last call. */
  struct CloseListeners {};

  /** Write a log record. */
  struct WriteLogRecord {
    LogRecord record;
  };

  using Any = std::variant<Accepted,
                           Dispatch,
                           Reject,
                           SendRecordedAnswer,
                           SendProbe,
                           ArmProbeWaitTimer,
                           ReadEndpoints,
                           ReadRoster,
                           WriteRoster,
                           SendGossip,
                           FetchLists,
                           PollStore,
                           WatchStore,
                           RestoreLists,
                           ClaimSeat,
                           ReleaseSeat,
                           CloseListeners,
                           WriteLogRecord>;
};

/** Effects of one event, in order. Reused between events, so that the call path does not allocate. */
using Effects = std::vector<Effect::Any>;

}  // namespace sassafras
