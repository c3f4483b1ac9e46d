#include "key_confirmation.h"

#include <algorithm>
#include <random>
#include <vector>

#include "call_end.h"
#include "core/gossip_message.h"
#include "gossip.h"
#include "state_parts.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/**
 * Fraction of the revocation limit within which the lists must have been confirmed. The rest covers the time in which a
 * request is written and the differences between the clocks of instances and store.
 */
constexpr double kUsableLimitFraction = 0.8;
/** Fraction of the revocation limit after which an instance looks for a confirmation itself. */
constexpr double kOldLimitFraction = 0.5;
/** Shortest time between two queries or polls of one instance because of an old confirmation. */
constexpr std::chrono::seconds kMinRefreshInterval{1};
/**
 * Polls per second of the whole fleet after the confirmation has lapsed: then the store is probably down for all, and
 * must not get a poll per second from each instance when it comes back.
 */
constexpr double kFleetPollsPerSecond = 2.0;

Duration LimitFraction(const StateParts& parts, double fraction) {
  return std::chrono::duration_cast<Duration>(parts.options.key_revocation_limit * fraction);
}

/** Whether the confirmation is younger than this fraction of the limit. */
bool IsYounger(const StateParts& parts, double fraction, TimePoint now) {
  const auto& confirmed_at = parts.keys.confirmed_at;
  return confirmed_at.has_value() && BootTime(parts, now) - *confirmed_at < LimitFraction(parts, fraction);
}

/** Whether a peer that watches the store for this instance answers its queries. */
bool HasAnsweringWatcher(const StateParts& parts, TimePoint now) {
  const WatcherState& watchers = parts.watchers;
  return watchers.missed_replies == 0 && watchers.last_reply_at != TimePoint() &&
         now - watchers.last_reply_at < LimitFraction(parts, kOldLimitFraction);
}

/** Queries a random member of another failure domain: the store may be out of reach of this whole domain only. */
void QueryOtherDomain(StateParts& parts, TimePoint now, Effects& effects) {
  std::vector<const Membership::Entry*> candidates;
  for (const Membership::Entry& entry : parts.members.All()) {
    if (entry.member.failure_domain != parts.self.failure_domain && parts.members.IsAlive(entry, now))
      candidates.push_back(&entry);
  }
  if (candidates.empty())
    return;
  parts.keys.query = parts.random();
  parts.keys.query_sent_at = BootTime(parts, now);
  const Member& peer = candidates[parts.random() % candidates.size()]->member;
  QueryPeer(parts, peer.peer_address, parts.keys.query, now, effects);
}

/** Draws whether this instance polls now, so that the fleet makes kFleetPollsPerSecond. */
bool DrawFleetPoll(StateParts& parts, TimePoint now) {
  const auto fleet = static_cast<double>(std::max<size_t>(1, parts.members.CountServing(now)));
  const double chance = kFleetPollsPerSecond * std::chrono::duration<double>(kMinRefreshInterval).count() / fleet;
  return std::uniform_real_distribution<double>(0.0, 1.0)(parts.random) < chance;
}

/** Looks for a confirmation other than through the watcher if the latest one is old. */
void RefreshIfOld(StateParts& parts, TimePoint now, Effects& effects) {
  const bool recently_tried = now - parts.keys.last_refresh < kMinRefreshInterval;
  if (recently_tried || IsYounger(parts, kOldLimitFraction, now))
    return;
  parts.keys.last_refresh = now;
  QueryOtherDomain(parts, now, effects);
  // The watch of a watcher is its read of the store, and it is repeated after each failure.
  if (parts.lists.watching || HasAnsweringWatcher(parts, now))
    return;
  if (IsYounger(parts, kUsableLimitFraction, now) || DrawFleetPoll(parts, now))
    effects.push_back(Effect::PollStore{});
}

}  // namespace

TimePoint BootTime(const StateParts& parts, TimePoint now) {
  return now + parts.keys.suspended;
}

bool NeedsKeyConfirmation(const StateParts& parts) {
  return parts.options.key_revocation_limit > milliseconds::zero() && parts.HasAccounts();
}

bool AreKeysConfirmed(const StateParts& parts, TimePoint now) {
  return !NeedsKeyConfirmation(parts) || IsYounger(parts, kUsableLimitFraction, now);
}

milliseconds KeyConfirmationAge(const StateParts& parts, TimePoint now) {
  if (!parts.keys.confirmed_at.has_value())
    return GossipMessage::kMaxAge;
  const auto age = std::chrono::ceil<milliseconds>(BootTime(parts, now) - *parts.keys.confirmed_at);
  return std::clamp(age, milliseconds::zero(), GossipMessage::kMaxAge);
}

void ConfirmKeys(StateParts& parts, TimePoint confirmed_at, TimePoint now) {
  if (parts.lists.generation == 0 || parts.lists.IsNewerAnnounced(now))
    return;
  auto& known = parts.keys.confirmed_at;
  known = known.has_value() ? std::max(*known, confirmed_at) : confirmed_at;
}

void ConfirmKeysFromReply(StateParts& parts, const GossipMessage& message, TimePoint query_sent_at, TimePoint now) {
  // The peer stated the age after the query was sent, so the confirmation is not older than this.
  if (message.generation <= parts.lists.generation && message.lists_confirmed_age < GossipMessage::kMaxAge)
    ConfirmKeys(parts, query_sent_at - message.lists_confirmed_age, now);
}

void OnKeyQueryReply(StateParts& parts, const GossipMessage& message, TimePoint now) {
  if (message.reply_to == 0 || message.reply_to != parts.keys.query)
    return;
  parts.keys.query = 0;
  ConfirmKeysFromReply(parts, message, parts.keys.query_sent_at, now);
}

std::optional<Reason> KeyRejection(const StateParts& parts, const CallState& call, TimePoint now) {
  if (!call.account.IsValid())
    return std::nullopt;
  if (!AreKeysConfirmed(parts, now))
    return Reason::kKeysNotConfirmed;
  const AccountHandle holder = call.api_key_hash == 0 ? call.account : parts.accounts.FindByKeyHash(call.api_key_hash);
  if (holder == call.account && parts.accounts.IsActive(holder))
    return std::nullopt;
  // A key that has moved to another account is valid, but the call was admitted with the limits of its former one.
  return parts.accounts.IsActive(holder) ? Reason::kKeysNotConfirmed : Reason::kUnauthorized;
}

bool RejectIfKeyForbids(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects) {
  const auto reason = KeyRejection(parts, *parts.calls.Find(handle), now);
  if (!reason.has_value())
    return false;
  ++parts.keys.rejected_calls;
  EndRejected(parts, handle, *reason, now, effects);
  return true;
}

void UpdateKeyConfirmation(StateParts& parts, TimePoint now, Effects& effects) {
  if (parts.phase == Phase::kStarting || parts.phase == Phase::kClosing)
    return;
  const bool lapsed = !AreKeysConfirmed(parts, now);
  if (lapsed != parts.keys.logged_lapsed) {
    parts.keys.logged_lapsed = lapsed;
    parts.log_records.push_back({lapsed ? LogRecord::Kind::kKeysNotConfirmed : LogRecord::Kind::kKeysConfirmed,
                                 parts.self.name,
                                 static_cast<uint64_t>(KeyConfirmationAge(parts, now).count()),
                                 {},
                                 "age of the confirmation"});
  }
  if (NeedsKeyConfirmation(parts))
    RefreshIfOld(parts, now, effects);
}

void OnSuspensionNoticed(StateParts& parts, const Event::SuspensionNoticed& event) {
  const Duration suspended = std::max(Duration::zero(), event.total - parts.keys.suspended);
  parts.keys.suspended += suspended;
  // The time of events stood still, but what is known has grown older.
  parts.lists.store_confirmed_at -= suspended;
  parts.feed.confirmed_at -= suspended;
}

}  // namespace sassafras
