#include "quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hash.h"
#include "call_end.h"
#include "calls.h"
#include "gossip.h"
#include "quota_share.h"
#include "quota_state.h"
#include "roster.h"
#include "state_parts.h"

namespace sassafras {
namespace {

using Seconds = std::chrono::duration<double>;
using Stage = CallState::Stage;
using std::chrono::milliseconds;

/** Time from the request of a token until it expires: it bounds by how much more than a window of the limit may run. */
constexpr milliseconds kTokenLifetime{200};
/** Wait for the reply of one member. */
constexpr milliseconds kReplyTimeout{40};
/** Time for which a member that does not reply is not asked. */
constexpr milliseconds kPassOverTime{1'000};
/** Requests without a reply after which a member is passed over; one may be a lost datagram. */
constexpr uint32_t kPassOverAfter = 2;
/** Longest time for which calls are rejected without asking again. */
constexpr milliseconds kMaxDenialMemory{100};
/** Delay in which owed tokens gather before an owner is told. */
constexpr milliseconds kOwedReportDelay{20};
/** Calls of one account that may wait for tokens. */
constexpr size_t kMaxWaiting = 512;
/** A request asks for tokens for the calls expected in this time, unless tokens were denied within kScarceTime. */
constexpr Seconds kPrefetchTime{0.1};
constexpr double kMaxPrefetch = 16;
constexpr milliseconds kScarceTime{200};
/** A caller that states less than this part of the usual time seems to return: callers come back after up to a third.
 */
constexpr double kReturnedCallerTime = 0.8;
/** Time constant of the averages of arrivals and grants. */
constexpr Seconds kRateTime{0.5};
/** Hedges without a token that may be unreported. */
constexpr uint32_t kMaxOwedByHedges = 2;
/** Time without use after which the state of an account is dropped; longer than the delays of rejected callers. */
constexpr std::chrono::seconds kClientIdleTime{30};
/** Time without a rejection after which an account is logged as within its quota. */
constexpr std::chrono::seconds kWithinQuotaTime{5};

bool IsLimited(const StateParts& parts, AccountHandle account) {
  return parts.accounts.IsActive(account) && parts.accounts[account].config.rate_per_second > 0;
}

QuotaClient* FindClient(StateParts& parts, uint32_t index) {
  auto& clients = parts.quota.clients;
  return index < clients.size() ? clients[index].get() : nullptr;
}

QuotaClient& ClientOf(StateParts& parts, AccountHandle account) {
  auto& clients = parts.quota.clients;
  if (account.Index() >= clients.size())
    clients.resize(parts.accounts.Size());
  std::unique_ptr<QuotaClient>& client = clients[account.Index()];
  if (client == nullptr) {
    client = std::make_unique<QuotaClient>();
    // A reply to a request of an earlier client must not be taken for one to a request of this one.
    client->last_sequence = static_cast<uint32_t>(parts.random());
  }
  return *client;
}

/** Adds events at `now` to an average rate, after it has decayed since `updated_at`. */
void AddToRate(double& rate, TimePoint& updated_at, double count, TimePoint now) {
  rate = rate * std::exp(-Seconds(now - updated_at).count() / kRateTime.count()) + count / kRateTime.count();
  updated_at = now;
}

/** Makes sure that UpdateQuotas() sees the account by `due`. */
void Open(StateParts& parts, AccountHandle account, TimePoint due) {
  QuotaClient& client = ClientOf(parts, account);
  if (!std::exchange(client.open, true))
    parts.quota.open.push_back(account);
  parts.quota.next_due = std::min(parts.quota.next_due, due);
}

QuotaShards::Grant GrantFromShard(StateParts& parts,
                                  AccountHandle account,
                                  const QuotaShards::Demand& demand,
                                  TimePoint now,
                                  Effects& effects) {
  const AccountState& state = parts.At(account);
  const uint64_t seed = QuotaShardSeed(state.name_hash, demand.shard);
  const QuotaShards::Part part = QuotaPartOf(parts, seed, now, effects);
  return parts.quota.shards.Take(state.name_hash, state.config, demand, part, now);
}

void Continue(StateParts& parts, CallHandle handle, TimePoint token_until, TimePoint now, Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  call.has_quota_token = token_until != TimePoint();
  call.quota_token_until = token_until;
  ContinueAdmitted(parts, handle, now, effects);
}

/** Removes calls that have ended from the front of those that wait; returns the first one that waits, or null. */
CallState* FirstWaiting(StateParts& parts, QuotaClient& client, TimePoint now, Effects& effects) {
  while (!client.waiting.empty()) {
    const CallHandle handle = client.waiting.front();
    CallState* call = parts.calls.Find(handle);
    const bool waits = call != nullptr && call->stage == Stage::kAwaitingQuota;
    if (waits && now < call->deadline)
      return call;
    client.waiting.erase(client.waiting.begin());
    if (waits)
      EndRejected(parts, handle, Reason::kDeadlineBeforeStart, now, effects);
  }
  return nullptr;
}

CallHandle TakeFirstWaiting(QuotaClient& client) {
  const CallHandle handle = client.waiting.front();
  client.waiting.erase(client.waiting.begin());
  return handle;
}

/** Continues waiting calls while there are tokens in stock, or all of them if the account has no limit any more. */
void ServeWaiting(StateParts& parts, AccountHandle account, TimePoint now, Effects& effects) {
  QuotaClient& client = ClientOf(parts, account);
  while (FirstWaiting(parts, client, now, effects) != nullptr) {
    const TimePoint until = client.stock.Take(now);
    if (until == TimePoint() && IsLimited(parts, account))
      return;
    Continue(parts, TakeFirstWaiting(client), until, now, effects);
  }
}

void RejectWaiting(StateParts& parts, QuotaClient& client, TimePoint now, Effects& effects) {
  while (FirstWaiting(parts, client, now, effects) != nullptr)
    EndRejected(parts, TakeFirstWaiting(client), Reason::kOverQuota, now, effects);
}

/** Admits waiting calls from the local share and rejects the others, because no owner replies. */
void ServeFromLocalShare(StateParts& parts, AccountHandle account, TimePoint now, Effects& effects) {
  QuotaClient& client = ClientOf(parts, account);
  client.owed = 0;
  while (FirstWaiting(parts, client, now, effects) != nullptr) {
    if (!TakeFromLocalShare(parts, parts.At(account), client, now)) {
      if (!IsInTouchWithPeers(parts, now))
        client.denied_until = now + kMaxDenialMemory;
      RejectWaiting(parts, client, now, effects);
      return;
    }
    ++parts.quota.counters.fallback_admissions;
    Continue(parts, TakeFirstWaiting(client), now + kTokenLifetime, now, effects);
  }
}

/** Number of tokens to ask for: one for each call that waits, and some for calls that are expected soon. */
uint32_t TokensWanted(StateParts& parts, AccountHandle account, TimePoint now) {
  QuotaClient& client = ClientOf(parts, account);
  std::erase_if(client.waiting, [&](CallHandle handle) {
    const CallState* call = parts.calls.Find(handle);
    return call == nullptr || call->stage != Stage::kAwaitingQuota;
  });
  const auto waiting = static_cast<uint32_t>(client.waiting.size());
  if (waiting == 0 || now - client.denied_at < kScarceTime)
    return waiting;
  const Account& config = parts.At(account).config;
  const double shard_burst = config.burst / QuotaShardCount(config.rate_per_second);
  const double expected = client.arrival_rate * kPrefetchTime.count();
  return waiting + static_cast<uint32_t>(std::min({expected, kMaxPrefetch, shard_burst / 4}));
}

void HandleReply(StateParts& parts,
                 AccountHandle account,
                 const QuotaShards::Grant& grant,
                 TimePoint now,
                 Effects& effects);

/** Asks the first member in the order of the shard, or the second one; without any to ask uses the local share. */
void Ask(StateParts& parts, AccountHandle account, TimePoint now, Effects& effects) {
  QuotaClient& client = ClientOf(parts, account);
  client.wanted = TokensWanted(parts, account, now);
  const uint64_t account_hash = parts.At(account).name_hash;
  const auto order = parts.members.FirstTwoFor(QuotaShardSeed(account_hash, client.shard), now);
  for (size_t i = client.second_member ? 1 : 0; i < order.size() && KnowsFleet(parts, now); ++i) {
    const Membership::Entry* entry = order[i];
    if (entry == nullptr)
      break;
    client.second_member = i > 0;
    const uint32_t owed = client.owed;
    if (entry->name_hash == parts.self_hash) {
      const auto waiting = static_cast<uint32_t>(client.waiting.size());
      client.wanted = waiting;
      client.owed = 0;
      parts.quota.counters.tokens_requested += waiting;
      const auto grant = GrantFromShard(parts, account, {client.shard, waiting, owed}, now, effects);
      client.stock.Add(grant.granted, now + kTokenLifetime, now);
      HandleReply(parts, account, grant, now, effects);
      return;
    }
    QuotaPeer& peer = QuotaPeerOf(parts, entry->name_hash);
    if (now < peer.passed_over_until)
      continue;
    peer.queried_at = now;
    client.member = entry->name_hash;
    client.owed_in_request = std::exchange(client.owed, 0);
    client.last_sequence = std::max(1u, client.last_sequence + 1);
    client.request = {client.last_sequence, now};
    client.late_requests[client.last_sequence % QuotaClient::kMaxRequestsPerRound] = client.request;
    const uint64_t id = (static_cast<uint64_t>(client.last_sequence) << 32u) | account.Index();
    parts.quota.counters.tokens_requested += client.wanted;
    SendQuotaRequest(parts, entry->member.peer_address, {id, account_hash, client.shard, client.wanted, owed}, now,
                     effects);
    Open(parts, account, now + kReplyTimeout);
    return;
  }
  ServeFromLocalShare(parts, account, now, effects);
}

/** Asks for tokens of a random shard. */
void StartRound(StateParts& parts, AccountHandle account, TimePoint now, Effects& effects) {
  QuotaClient& client = ClientOf(parts, account);
  client.shard = static_cast<uint32_t>(parts.random() % QuotaShardCount(parts.At(account).config.rate_per_second));
  client.second_member = false;
  client.second_shard = false;
  Ask(parts, account, now, effects);
}

void AskSecondMember(StateParts& parts, AccountHandle account, TimePoint now, Effects& effects) {
  if (std::exchange(ClientOf(parts, account).second_member, true))
    ServeFromLocalShare(parts, account, now, effects);
  else
    Ask(parts, account, now, effects);
}

/** Uses the tokens granted. If some were denied, asks for those of another shard, and then rejects waiting calls. */
void HandleReply(StateParts& parts,
                 AccountHandle account,
                 const QuotaShards::Grant& grant,
                 TimePoint now,
                 Effects& effects) {
  QuotaClient& client = ClientOf(parts, account);
  parts.quota.counters.tokens_granted += grant.granted;
  AddToRate(client.granted_rate, client.granted_rate_at, grant.granted, now);
  const bool denied = grant.granted < client.wanted;
  ServeWaiting(parts, account, now, effects);
  if (client.waiting.empty() || !IsLimited(parts, account))
    return;
  if (!denied) {
    StartRound(parts, account, now, effects);
    return;
  }
  // The member's lists lack the account.
  if (grant.retry_after == milliseconds::zero()) {
    AskSecondMember(parts, account, now, effects);
    return;
  }
  client.denied_at = now;
  client.promised_until = std::max(client.promised_until, now + grant.retry_after);
  const uint32_t shards = QuotaShardCount(parts.At(account).config.rate_per_second);
  if (shards > 1 && !std::exchange(client.second_shard, true)) {
    client.shard = static_cast<uint32_t>((client.shard + 1 + parts.random() % (shards - 1)) % shards);
    client.second_member = false;
    Ask(parts, account, now, effects);
    return;
  }
  client.denied_until = now + std::min(grant.retry_after, kMaxDenialMemory);
  RejectWaiting(parts, client, now, effects);
}

void OnNoReply(StateParts& parts, AccountHandle account, TimePoint now, Effects& effects) {
  QuotaClient& client = ClientOf(parts, account);
  client.request = {};
  // The request may have arrived, but a debt that is stated twice only delays tokens.
  client.owed += client.owed_in_request;
  QuotaPeer& peer = QuotaPeerOf(parts, client.member);
  ++peer.unanswered;
  if (peer.unanswered >= kPassOverAfter || !IsInTouchWithPeers(parts, now))
    peer.passed_over_until = now + kPassOverTime;
  AskSecondMember(parts, account, now, effects);
}

void OnGrant(StateParts& parts, const GossipMessage::QuotaGrant& grant, TimePoint now, Effects& effects) {
  const auto sequence = static_cast<uint32_t>(grant.id >> 32u);
  const AccountHandle account(static_cast<uint32_t>(grant.id));
  QuotaClient* client = FindClient(parts, account.Index());
  if (client == nullptr || sequence == 0)
    return;
  QuotaClient::Request& slot = client->late_requests[sequence % QuotaClient::kMaxRequestsPerRound];
  if (slot.sequence != sequence)
    return;
  // The tokens were debited after the request was sent, so this counts from the earliest possible time.
  const TimePoint expires_at = std::exchange(slot, {}).sent_at + kTokenLifetime;
  client->stock.Add(grant.granted, expires_at, now);
  if (client->request.sequence != sequence) {
    parts.quota.counters.tokens_granted += grant.granted;
    ServeWaiting(parts, account, now, effects);
    return;
  }
  client->request = {};
  HandleReply(parts, account, {grant.granted, grant.retry_after}, now, effects);
}

/** Returns the reply to a request; with no token and no delay if this instance does not know the account. */
GossipMessage::QuotaGrant Answer(StateParts& parts,
                                 const GossipMessage::QuotaRequest& request,
                                 TimePoint now,
                                 Effects& effects) {
  const AccountHandle account = parts.accounts.FindByNameHash(request.account);
  if (!account.IsValid())
    return {request.id, 0, {}};
  if (!IsLimited(parts, account))
    return {request.id, request.wanted, {}};
  const auto grant = GrantFromShard(parts, account, {request.shard, request.wanted, request.owed}, now, effects);
  return {request.id, grant.granted, grant.retry_after};
}

/** When the account is due next; TimePoint::max() if nothing is outstanding. */
TimePoint DueTime(StateParts& parts, const QuotaClient& client, TimePoint now) {
  TimePoint due = client.owed > 0 ? now + kOwedReportDelay : TimePoint::max();
  if (client.request.sequence != 0)
    due = std::min(due, client.request.sent_at + kReplyTimeout);
  for (const CallHandle handle : client.waiting) {
    const CallState* call = parts.calls.Find(handle);
    if (call != nullptr)
      due = std::min(due, call->deadline);
  }
  return due;
}

void UpdateAccount(StateParts& parts, AccountHandle account, TimePoint now, Effects& effects) {
  QuotaClient& client = ClientOf(parts, account);
  // FirstWaiting() sees only the calls that are next to be continued.
  for (size_t i = 0; i < client.waiting.size();) {
    const CallHandle handle = client.waiting[i];
    const CallState* call = parts.calls.Find(handle);
    const bool waits = call != nullptr && call->stage == Stage::kAwaitingQuota;
    if (waits && now < call->deadline) {
      ++i;
      continue;
    }
    client.waiting.erase(client.waiting.begin() + static_cast<std::ptrdiff_t>(i));
    if (waits)
      EndRejected(parts, handle, Reason::kDeadlineBeforeStart, now, effects);
  }
  if (!IsLimited(parts, account)) {
    client.request = {};
    client.owed = 0;
    ServeWaiting(parts, account, now, effects);
  } else if (client.request.sequence != 0 && now >= client.request.sent_at + kReplyTimeout) {
    OnNoReply(parts, account, now, effects);
  } else if (client.request.sequence == 0 && (client.owed > 0 || !client.waiting.empty())) {
    StartRound(parts, account, now, effects);
  }
}

/**
 * Whether the caller seems to return after a rejection: it allows much less time than callers of the plan usually do.
 * Other instances may have rejected it, so that there is no record of it here.
 */
bool SeemsToReturn(const StateParts& parts, const CallState& call) {
  const Duration stated = call.caller_deadline - call.arrived_at;
  const Duration usual = parts.plans[call.plan].usual_caller_wait;
  return std::chrono::duration<double>(stated) < kReturnedCallerTime * std::chrono::duration<double>(usual);
}

}  // namespace

bool AcquireQuota(StateParts& parts, CallHandle handle, TimePoint now, Effects& effects) {
  CallState& call = *parts.calls.Find(handle);
  if (!IsLimited(parts, call.account) || (call.has_quota_token && now < call.quota_token_until))
    return true;
  QuotaClient& client = ClientOf(parts, call.account);
  client.used_at = now;
  AddToRate(client.arrival_rate, client.arrival_rate_at, 1, now);
  call.quota_token_until = client.stock.Take(now);
  call.has_quota_token = call.quota_token_until != TimePoint();
  if (call.has_quota_token)
    return true;
  // A token for a caller that has missed its objective already would make a new one miss it too.
  const bool yields = now - client.denied_at < kScarceTime && call.attempts == 0 && SeemsToReturn(parts, call);
  if (yields || now < client.denied_until || client.waiting.size() >= kMaxWaiting) {
    EndRejected(parts, handle, Reason::kOverQuota, now, effects);
    return false;
  }
  call.stage = Stage::kAwaitingQuota;
  client.waiting.push_back(handle);
  if (client.request.sequence == 0)
    StartRound(parts, call.account, now, effects);
  if (!client.waiting.empty())
    Open(parts, call.account, call.deadline);
  return false;
}

bool QuotaAllowsHedge(StateParts& parts, const CallState& call, TimePoint now) {
  if (!IsLimited(parts, call.account))
    return true;
  QuotaClient& client = ClientOf(parts, call.account);
  const bool scarce = now - client.denied_at < kScarceTime;
  return client.stock.Has(now) || (!scarce && client.owed < kMaxOwedByHedges);
}

void SpendQuota(StateParts& parts, CallState& call, TimePoint now) {
  if (!IsLimited(parts, call.account))
    return;
  if (std::exchange(call.has_quota_token, false) && now < call.quota_token_until)
    return;
  QuotaClient& client = ClientOf(parts, call.account);
  call.quota_token_until = client.stock.Take(now);
  if (call.quota_token_until != TimePoint())
    return;
  ++client.owed;
  Open(parts, call.account, now + kOwedReportDelay);
}

void UndoSpendQuota(StateParts& parts, CallState& call) {
  call.has_quota_token = IsLimited(parts, call.account);
}

void ReturnQuota(StateParts& parts, const CallState& call, TimePoint now) {
  if (call.has_quota_token && IsLimited(parts, call.account))
    ClientOf(parts, call.account).stock.Add(1, call.quota_token_until, now);
}

milliseconds RecordOverQuota(StateParts& parts, AccountHandle account, TimePoint now) {
  QuotaClient& client = ClientOf(parts, account);
  ++parts.quota.counters.calls_denied;
  if (client.rejected == 0)
    parts.log_records.push_back({LogRecord::Kind::kAccountOverQuota, parts.At(account).config.name, 0, {}, "quota"});
  ++client.rejected;
  client.rejected_at = now;
  AddToRate(client.granted_rate, client.granted_rate_at, 0, now);
  // One rejected caller is promised each token that this instance expects, so that they do not all return for one.
  const double local_share = parts.At(account).config.rate_per_second / QuotaShareCount(parts, now);
  const Seconds step(1 / std::max({client.granted_rate, local_share, 1e-3}));
  const Duration limit = QuotaShards::kMaxRetryAfter;
  const Duration promised = std::max<Duration>(Duration::zero(), client.promised_until - now) +
                            std::chrono::duration_cast<Duration>(std::min<Seconds>(step, limit));
  client.promised_until = now + std::min(promised, limit);
  return std::chrono::ceil<milliseconds>(client.promised_until - now);
}

void OnQuotaMessage(StateParts& parts, const GossipMessage& message, TimePoint now, Effects& effects) {
  QuotaState& quota = parts.quota;
  quota.heard_at = now;
  if (!quota.peers.empty()) {
    const uint64_t sender = Hash64(message.sender.name);
    for (QuotaPeer& peer : quota.peers) {
      if (peer.name_hash != sender)
        continue;
      peer.heard_at = now;
      peer.unanswered = 0;
      peer.passed_over_until = {};
    }
  }
  std::vector<GossipMessage::QuotaGrant> grants;
  for (const GossipMessage::QuotaRequest& request : message.quota_requests)
    grants.push_back(Answer(parts, request, now, effects));
  if (!grants.empty())
    SendQuotaGrants(parts, message.sender.peer_address, std::move(grants), now, effects);
  for (const GossipMessage::QuotaGrant& grant : message.quota_grants)
    OnGrant(parts, grant, now, effects);
}

void UpdateQuotas(StateParts& parts, TimePoint now, Effects& effects) {
  QuotaState& quota = parts.quota;
  if (now < quota.next_due)
    return;
  quota.next_due = TimePoint::max();
  for (size_t i = 0; i < quota.open.size();) {
    const AccountHandle account = quota.open[i];
    UpdateAccount(parts, account, now, effects);
    const TimePoint due = DueTime(parts, ClientOf(parts, account), now);
    quota.next_due = std::min(quota.next_due, due);
    if (due != TimePoint::max()) {
      ++i;
      continue;
    }
    ClientOf(parts, account).open = false;
    quota.open[i] = quota.open.back();
    quota.open.pop_back();
  }
}

TimePoint NextQuotaTime(const StateParts& parts) {
  return parts.quota.next_due;
}

void ExpireQuotas(StateParts& parts, TimePoint now) {
  QuotaState& quota = parts.quota;
  quota.shards.Expire(now);
  std::erase_if(quota.peers, [now](const QuotaPeer& peer) {
    return now - std::max(peer.heard_at, peer.queried_at) > kSilentMemberTime && now >= peer.passed_over_until;
  });
  for (uint32_t index = 0; index < quota.clients.size(); ++index) {
    std::unique_ptr<QuotaClient>& client = quota.clients[index];
    if (client == nullptr)
      continue;
    if (client->rejected > 0 && now - client->rejected_at > kWithinQuotaTime) {
      parts.log_records.push_back({LogRecord::Kind::kAccountWithinQuota,
                                   parts.At(AccountHandle(index)).config.name,
                                   std::exchange(client->rejected, 0),
                                   {},
                                   "quota"});
    }
    if (!client->open && client->rejected == 0 && now - client->used_at > kClientIdleTime)
      client.reset();
  }
}

}  // namespace sassafras
