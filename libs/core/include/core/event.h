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
#include "core/endpoint_change.h"
#include "core/gossip_message.h"
#include "core/idempotency.h"
#include "core/load_report.h"
#include "core/member.h"

namespace sassafras {

struct Lists;
struct RecordedAnswer;

/** How an attempt at an endpoint ended. */
enum class AttemptResult : uint8_t {
  /** The whole answer was received. */
  kAnswered,
  /** The endpoint explicitly refused before running the request. */
  kRefused,
  /** The endpoint could not be reached; no byte of the request left. */
  kNotSent,
  /** This instance changed its mind before any byte left: the deadline passed or the endpoint began to leave. */
  kWithdrawn,
  /** The connection broke after a byte was written, before the answer began. */
  kBroken,
  /** The connection broke, or the answer was malformed, after a part had been passed to the caller. */
  kBrokenInAnswer,
  /** The answer was malformed before any of it had been passed on. */
  kMalformed,
  /** The deadline passed after a byte was written. */
  kTimedOut,
  /** The caller went away, or another attempt answered first. */
  kCancelled,
};

/** Everything that can happen to the reducer. Time and randomness come in with events. */
struct Event {
  /** Lists were read from the store or a peer. */
  struct ListsReceived {
    TimePoint now;
    uint64_t generation = 0;
    std::shared_ptr<const Lists> lists;
  };
  /** The store answered and holds `generation`; 0 if it holds no lists. */
  struct StoreConfirmed {
    TimePoint now;
    uint64_t generation = 0;
  };
  /** The platform's list of entry instances and of endpoints that leave. */
  struct DirectoryReceived {
    struct EndpointMark {
      std::string name;
      uint64_t incarnation = 0;
      bool leaving = false;
    };
    TimePoint now;
    /** Whether all members are there, not only those that changed. */
    bool whole = true;
    std::vector<Member> members;
    std::vector<EndpointMark> endpoints;
  };
  /** Endpoints as the platform's store lists them: all of them, or those that changed. */
  struct EndpointsReceived {
    TimePoint now;
    /** Revision of the store up to which this speaks. */
    uint64_t as_of = 0;
    /** Whether endpoints that are not here are gone. */
    bool whole = false;
    std::vector<EndpointChange> changes;
    /** Whether a peer passed this on, and how old its knowledge was. */
    bool from_peer = false;
    std::chrono::milliseconds age{};
    /** Whether the store may have answered with what it knew some time ago. */
    bool may_lag = false;
  };
  /** Entry instances as one of them has written them down. */
  struct RosterReceived {
    TimePoint now;
    std::vector<Member> members;
  };
  /** A read of the store ended; `ok` tells whether it answered. */
  struct StoreRead {
    TimePoint now;
    bool ok = false;
  };
  struct GossipReceived {
    TimePoint now;
    GossipMessage message;
  };
  struct CallArrived {
    TimePoint now;
    /** The shell's own name for the call, returned in effects. */
    uint64_t ticket = 0;
    PlanHandle plan;
    /** Time the caller still gives, at most; the plan's deadline applies too. */
    Duration limit = Duration::max();
    /** Hash of method, path and body. */
    uint64_t fingerprint = 0;
    /** Whether the request can be sent a second time. */
    bool replayable = true;
    Idempotency idempotency;
  };
  /** The caller of a waiting or running call went away. */
  struct CallerGone {
    TimePoint now;
    CallHandle call;
  };
  /** No answer began within the hedge delay of the call's first attempt. */
  struct HedgeDue {
    TimePoint now;
    CallHandle call;
  };
  /** The time is up in which endpoints may answer before one of them is chosen. */
  struct AskDue {
    TimePoint now;
    CallHandle call;
  };
  struct AttemptEnded {
    TimePoint now;
    CallHandle call;
    EndpointHandle endpoint;
    AttemptResult result = AttemptResult::kAnswered;
    /** Whether the answer counts as a failure of the service (status 5xx). */
    bool failure_status = false;
    /** Whether another endpoint has the address now. */
    bool wrong_endpoint = false;
    LoadReport load;
    /** The answer of a call with an idempotency key; null if too large to keep. */
    std::shared_ptr<const RecordedAnswer> answer;
  };
  struct ProbeEnded {
    TimePoint now;
    EndpointHandle endpoint;
    bool answered = false;
    LoadReport load;
    /** The call on whose behalf the endpoint was asked; stale if none did. */
    CallHandle call;
  };
  /** The platform granted or renewed a probe seat. */
  struct SeatGranted {
    TimePoint now;
    uint32_t seat = 0;
    /** Counted from before the request for the lease was sent. */
    TimePoint valid_until;
  };
  struct SeatRefused {
    TimePoint now;
    uint32_t seat = 0;
  };
  /** Time passed; sent when State::NextTick() is reached. */
  struct Tick {
    TimePoint now;
  };
  /** Settings that can change while the instance runs; see StateOptions. */
  struct SettingsChanged {
    TimePoint now;
    double retry_ratio = 0;
    double retry_slack = 0;
    std::chrono::milliseconds address_ttl{};
    std::chrono::milliseconds linger_limit{};
  };
  struct StopRequested {
    TimePoint now;
  };

  using Any = std::variant<ListsReceived,
                           StoreConfirmed,
                           DirectoryReceived,
                           EndpointsReceived,
                           RosterReceived,
                           StoreRead,
                           GossipReceived,
                           CallArrived,
                           CallerGone,
                           HedgeDue,
                           AskDue,
                           AttemptEnded,
                           ProbeEnded,
                           SeatGranted,
                           SeatRefused,
                           Tick,
                           SettingsChanged,
                           StopRequested>;
};

/** Longest time between ticks while calls wait for an endpoint. */
constexpr std::chrono::milliseconds kTickPeriod{5};

}  // namespace sassafras
