#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "core/call_handle.h"
#include "core/effect.h"
#include "core/event.h"
#include "core/outcome.h"

namespace sassafras {

struct CallState;
struct GossipMessage;
struct StateParts;

/**
 * When the lists in use were last known to be the latest ones, as far as the strict revocation of API keys is
 * concerned.
 *
 * Unlike ListsTracker::store_confirmed_at, which unsolicited messages of peers advance as well, this time never depends
 * on when a message was received. Its times advance while the machine is suspended.
 */
struct KeyConfirmation {
  /** Start of the latest read of the store that confirmed the lists; nothing before the first. */
  std::optional<TimePoint> confirmed_at;
  /** Time for which the machine has been suspended since its start. */
  Duration suspended{};
  /** Whether the latest log record says that calls with API keys are rejected. */
  bool logged_lapsed = false;
  /** When this instance last looked for a confirmation itself because the latest one was old. */
  TimePoint last_refresh{};
  /** Id of its latest query to a peer for that purpose, 0 after the reply; and when it was sent. */
  uint64_t query = 0;
  TimePoint query_sent_at{};
  /** Calls rejected because of their API key. */
  uint64_t rejected_calls = 0;
};

/** Returns `now` as a time that advances while the machine is suspended, as used in KeyConfirmation. */
TimePoint BootTime(const StateParts& parts, TimePoint now);

/** Whether calls with API keys run only with a recent confirmation. */
bool NeedsKeyConfirmation(const StateParts& parts);

/** Whether calls with API keys may run now. */
bool AreKeysConfirmed(const StateParts& parts, TimePoint now);

/** Time since the latest confirmation, rounded up; GossipMessage::kMaxAge at most. */
std::chrono::milliseconds KeyConfirmationAge(const StateParts& parts, TimePoint now);

/**
 * Records that the lists in use were the latest ones at `confirmed_at`, a BootTime(). Ignored while a peer announces
 * newer lists, since the key may be missing in them.
 */
void ConfirmKeys(StateParts& parts, TimePoint confirmed_at, TimePoint now);

/** Uses what the reply to a query of this instance says of the lists. @param query_sent_at  a BootTime() */
void ConfirmKeysFromReply(StateParts& parts, const GossipMessage& message, TimePoint query_sent_at, TimePoint now);

/** Handles the reply to the query that UpdateKeyConfirmation() sent; ignores other messages. */
void OnKeyQueryReply(StateParts& parts, const GossipMessage& message, TimePoint now);

/** Returns why an accepted call may not run now because of its API key; nothing if it may. */
std::optional<Reason> KeyRejection(const StateParts& parts, const CallState& call, TimePoint now);

/** Rejects the call if its API key forbids that it runs now; returns whether it did. */
bool RejectIfKeyForbids(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects);

/** Logs a lapse of the confirmation and its end, and looks for another one if it is old. */
void UpdateKeyConfirmation(StateParts& parts, TimePoint now, Effects& effects);

void OnSuspensionNoticed(StateParts& parts, const Event::SuspensionNoticed& event);

}  // namespace sassafras
