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
#include "core/member.h"
#include "core/note.h"
#include "core/outcome.h"

namespace sassafras {

struct GossipMessage;
struct RecordedAnswer;

/** What the reducer wants done. Effects are data; the shell carries them out in order. */
struct Effect {
  /** The call was accepted under this handle. Comes before any other effect of the call. */
  struct Accepted {
    uint64_t ticket = 0;
    CallHandle call;
  };
  /** Send the request to the endpoint; its end is reported as AttemptEnded. */
  struct Dispatch {
    uint64_t ticket = 0;
    CallHandle call;
    EndpointHandle endpoint;
    TimePoint deadline;
    /** When to report HedgeDue; TimePoint::max() for never. */
    TimePoint hedge_at;
    /** Whether the call has a record that wants the answer kept. */
    bool keep_answer = false;
    DispatchBasis basis;
  };
  /** Tell the caller that there is no answer; the call has ended. */
  struct Reject {
    uint64_t ticket = 0;
    Reason reason = Reason::kNoPlan;
    /** Address of the owner for Reason::kRedirectToOwner. */
    std::string owner_address;
    /** When to come back; zero if nothing is known. */
    std::chrono::milliseconds retry_after{};
    /** What was known of the endpoints when that was decided; the estimate is the best one. */
    DispatchBasis basis;
  };
  /** Give the caller a recorded answer; the call has ended. */
  struct AnswerRecorded {
    uint64_t ticket = 0;
    std::shared_ptr<const RecordedAnswer> answer;
  };
  /** Send a probe now, unless `not_after` has passed when it would leave. */
  struct SendProbe {
    EndpointHandle endpoint;
    TimePoint not_after;
    /** The call that waits for the answer; default if none does. */
    CallHandle call;
  };
  /** Report AskDue for the call at `at`. */
  struct ArmAsk {
    uint64_t ticket = 0;
    TimePoint at;
  };
  /** Read from the platform's store which endpoints there are. */
  struct ReadEndpoints {
    /** All of them, or only what changed since the last read. */
    bool whole = false;
    /** How long to wait for a change. */
    std::chrono::milliseconds wait{};
    /** Revision after which changes are wanted. */
    uint64_t after = 0;
    /** Peer to ask; empty for none. */
    std::string peer_address;
    /** Whether the peer is asked before the store, and for how long; otherwise only if the store does not answer. */
    bool peer_first = false;
    std::chrono::milliseconds peer_limit{500};
    /** Whether a reading that lags a little is good enough. */
    bool may_lag = false;
  };
  /** Read the entry instances that one of them has written down. */
  struct ReadRoster {};
  /** Write the entry instances down for those that start later. */
  struct WriteRoster {
    std::vector<Member> members;
  };
  struct SendGossip {
    std::string peer_address;
    std::shared_ptr<const GossipMessage> message;
  };
  /** Ask a peer for lists above our generation. */
  struct FetchLists {
    std::string peer_address;
    /** Generation that the peer holds; 0 if unknown. */
    uint64_t generation = 0;
  };
  /** Read the lists and the list of instances from the platform once. */
  struct PollStore {
    /** Whether a reading that lags a little is good enough: it proves nothing, but is much cheaper. */
    bool may_lag = false;
  };
  /** Keep or drop a watch on the store. */
  struct WatchStore {
    bool on = false;
  };
  /** The store holds an older generation than ours; write ours back. */
  struct RestoreLists {
    uint64_t generation = 0;
  };
  /** Ask the platform for a probe seat, or renew it. */
  struct ClaimSeat {
    uint32_t seat = 0;
  };
  /** Give a seat back. */
  struct ReleaseSeat {
    uint32_t seat = 0;
  };
  /** Accept no more connections and close idle ones; exit when no call is left. */
  struct CloseListeners {};

  /** Write to the log what this instance has come to believe. */
  struct WriteNote {
    Note note;
  };

  using Any = std::variant<Accepted,
                           Dispatch,
                           Reject,
                           AnswerRecorded,
                           SendProbe,
                           ArmAsk,
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
                           WriteNote>;
};

/** Effects of one event, in order. Reused between events so that none is allocated on the call path. */
using Effects = std::vector<Effect::Any>;

}  // namespace sassafras
