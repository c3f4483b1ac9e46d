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
  /** The endpoint explicitly refused the request before running it. */
  kRefused,
  /** The endpoint could not be reached; no byte of the request was written. */
  kNotSent,
  /** This instance gave up before any byte was written: the deadline passed, or the endpoint no longer takes calls. */
  kWithdrawn,
  /** The connection broke after a byte was written and before the answer began. */
  kBroken,
  /** The connection broke or the answer was malformed after part of it had been forwarded to the caller. */
  kBrokenInAnswer,
  /** The answer was malformed; none of it had been forwarded to the caller. */
  kMalformed,
  /** The deadline passed after a byte was written. */
  kTimedOut,
  /** The caller disconnected, or another attempt was answered first. */
  kCancelled,
  /** This instance broke off the request while it was written, because its API key had lapsed. */
  kAborted,
};

/** An input of the reducer. Every event carries the current time, because the reducer reads no clock. */
struct Event {
  /** Lists were read from the store or a peer. */
  struct ListsReceived {
    TimePoint now;
    uint64_t generation = 0;
    std::shared_ptr<const Lists> lists;
  };
  /** A read of the store found the lists at `generation`; 0 if the store holds no lists. */
  struct StoreConfirmed {
    TimePoint now;
    uint64_t generation = 0;
    /**
     * When the read was begun, as a time that advances while the machine is suspended; not set if the read may have
     * returned data from before its begin, or if what it returned could not be used.
     */
    TimePoint read_started_at{};
    /** Upper bound of the time since the store stated this. */
    std::chrono::milliseconds age{};
  };
  /** The machine was found to have been suspended for `total` since its start, while the time of events stood still. */
  struct SuspensionNoticed {
    TimePoint now;
    Duration total{};
  };
  /** The platform's directory of entry instances and of leaving endpoints was read. */
  struct DirectoryReceived {
    struct EndpointStatus {
      std::string name;
      uint64_t incarnation = 0;
      bool leaving = false;
    };
    TimePoint now;
    /** Whether `members` holds all members, not only those that changed. */
    bool whole = true;
    std::vector<Member> members;
    std::vector<EndpointStatus> endpoints;
  };
  /** The endpoints listed in the platform's store were read: all of them, or those that changed. */
  struct EndpointsReceived {
    TimePoint now;
    /** Revision of the store up to which the data is complete; see MakeStoreRevision(). */
    uint64_t as_of = 0;
    /** Whether the event lists all endpoints: any other endpoint is gone. */
    bool whole = false;
    std::vector<EndpointChange> changes;
    bool from_peer = false;
    /** Upper bound of the time since the store stated this, to this instance or to the peer that it comes from. */
    std::chrono::milliseconds age{};
    /** Whether the store may have returned stale data. */
    bool may_lag = false;
  };
  /** The evacuated failure domains were read from the platform's store. */
  struct EvacuationsReceived {
    TimePoint now;
    GossipMessage::Evacuations evacuations;
    /** Whether the store may have returned stale data. */
    bool may_lag = false;
  };
  /** The roster of entry instances was read from the platform's store. */
  struct RosterReceived {
    TimePoint now;
    std::vector<Member> members;
  };
  /** A read of the store ended; `ok` if the store answered. */
  struct StoreReadEnded {
    TimePoint now;
    bool ok = false;
  };
  struct GossipReceived {
    TimePoint now;
    GossipMessage message;
  };
  struct CallArrived {
    TimePoint now;
    /** When the request head had been read: earlier than `now` by the time that the body took. Not set: `now`. */
    TimePoint received_at{};
    /** Id that the I/O layer chose for the call; returned in effects. */
    uint64_t ticket = 0;
    /** Plan that matches the request; invalid if none does. */
    PlanHandle plan;
    /** Client account whose API key the request carries; invalid if it carries none or an unknown one. */
    AccountHandle account;
    /** Hash64() of that API key; 0 if unknown, so that the key is taken to stay with the account. */
    uint64_t api_key_hash = 0;
    /** Time from then until the caller's deadline; the plan's deadline applies too. */
    Duration time_left = Duration::max();
    /** Hash of method, path and body. */
    uint64_t fingerprint = 0;
    /** Whether the request is held in full, so that it can be sent again. */
    bool replayable = true;
    Idempotency idempotency;
  };
  /** The caller of a waiting or running call disconnected. */
  struct CallerGone {
    TimePoint now;
    CallHandle call;
  };
  /** The hedge delay of the call's first attempt passed before an answer began. */
  struct HedgeDue {
    TimePoint now;
    CallHandle call;
  };
  /** The wait for answers to the load probes of the call expired; an endpoint must be chosen now. */
  struct ProbeWaitExpired {
    TimePoint now;
    CallHandle call;
  };
  /** An attempt has begun to answer the caller, so no other attempt may answer the call any more. */
  struct AnswerStarted {
    TimePoint now;
    CallHandle call;
  };
  struct AttemptEnded {
    TimePoint now;
    CallHandle call;
    EndpointHandle endpoint;
    AttemptResult result = AttemptResult::kAnswered;
    /** Whether the status of the answer counts as a failure of the service (5xx). */
    bool failure_status = false;
    /** Whether the address now belongs to another endpoint. */
    bool wrong_endpoint = false;
    LoadReport load;
    /** The answer of a call with an idempotency key; null if too large to keep. */
    std::shared_ptr<const RecordedAnswer> answer;
  };
  /**
   * The head of an endpoint's answer says that the endpoint is leaving or wants no requests for a while. It precedes
   * the AttemptEnded of that answer, whose body may take long.
   */
  struct EndpointReported {
    TimePoint now;
    EndpointHandle endpoint;
    LoadReport load;
  };
  struct ProbeEnded {
    TimePoint now;
    EndpointHandle endpoint;
    bool answered = false;
    LoadReport load;
    /** The call that the probe was sent for; a default-constructed handle if there is none. */
    CallHandle call;
    /** Whether the probe was not sent, because it was too late or the endpoint wants no requests. */
    bool withdrawn = false;
  };
  /** The platform granted or renewed a probe seat. */
  struct SeatGranted {
    TimePoint now;
    uint32_t seat = 0;
    /** End of the lease, computed from the time before the lease request was sent. */
    TimePoint valid_until;
  };
  struct SeatRefused {
    TimePoint now;
    uint32_t seat = 0;
  };
  /** Timer event, due at State::NextTick(). */
  struct Tick {
    TimePoint now;
  };
  /** The settings that can change at run time; see StateOptions. */
  struct SettingsChanged {
    TimePoint now;
    double retry_ratio = 0;
    double retry_slack = 0;
    std::chrono::milliseconds address_ttl{};
    std::chrono::milliseconds linger_limit{};
    double hedge_limit = 0;
    std::chrono::milliseconds endpoint_leave_limit{2'000};
    std::chrono::milliseconds lists_apply_limit{2'000};
  };
  struct StopRequested {
    TimePoint now;
    /** When the process ends even if calls are in progress. */
    TimePoint ends_at = TimePoint::max();
  };

  using Any = std::variant<ListsReceived,
                           StoreConfirmed,
                           SuspensionNoticed,
                           DirectoryReceived,
                           EndpointsReceived,
                           EvacuationsReceived,
                           RosterReceived,
                           StoreReadEnded,
                           GossipReceived,
                           CallArrived,
                           CallerGone,
                           HedgeDue,
                           ProbeWaitExpired,
                           AnswerStarted,
                           AttemptEnded,
                           EndpointReported,
                           ProbeEnded,
                           SeatGranted,
                           SeatRefused,
                           Tick,
                           SettingsChanged,
                           StopRequested>;
};

/** Tick period while calls wait for an endpoint or a gossip round is due at once. */
constexpr std::chrono::milliseconds kBusyTickPeriod{5};

}  // namespace sassafras
