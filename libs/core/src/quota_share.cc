#include "quota_share.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/hash.h"
#include "gossip.h"
#include "quota_state.h"
#include "roster.h"
#include "state_parts.h"

namespace sassafras {
namespace {

using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;

/** An instance that has heard no peer for this long is taken to be cut off; peers gossip several times as often. */
constexpr milliseconds kInTouchTime{400};
/**
 * If the heartbeats of this share of the members are overdue at once, there is a partition: that they are silent is
 * taken for granted at twice the usual age of heartbeats instead of the silent timeout of a single member.
 */
constexpr double kPartitionShare = 0.25;
constexpr std::chrono::seconds kMinOverdueTime{1};
/**
 * Share of the rate that a member grants in place of the first one, and of its local share that an instance uses, while
 * the first member or the peers are heard: single datagrams were lost, and the owner still grants the whole rate.
 */
constexpr double kLossFactor = 0.02;
/** Share of members that are heard, below which silent ones are taken to be heard by others. */
constexpr double kSettledShare = 0.9;
/** Share of its local share that a cut-off instance uses until its peers know that it is silent. */
constexpr double kUnnoticedFactor = 0.4;
/** Time for which a member counts as heard after its last datagram, and the period of queries to find out. */
constexpr milliseconds kPeerHeardTime{500};
constexpr milliseconds kPeerQueryPeriod{100};
/** Instances without any burst that may hold a token of a local share, in addition to the burst. */
constexpr double kMaxExtraShares = 10;
/** "share" in ASCII. */
constexpr uint64_t kLocalShareSeed = 0x7368617265;

}  // namespace

bool IsInTouchWithPeers(const StateParts& parts, TimePoint now) {
  return now - parts.quota.heard_at < kInTouchTime;
}

QuotaPeer& QuotaPeerOf(StateParts& parts, uint64_t name_hash) {
  auto& peers = parts.quota.peers;
  const auto found =
      std::find_if(peers.begin(), peers.end(), [&](const QuotaPeer& peer) { return peer.name_hash == name_hash; });
  if (found != peers.end())
    return *found;
  peers.push_back({name_hash});
  return peers.back();
}

double QuotaShareCount(const StateParts& parts, TimePoint now) {
  if (!KnowsFleet(parts, now))
    return parts.FleetDivisor();
  return static_cast<double>(std::max<size_t>({1, parts.largest_fleet, parts.members.CountServing(now)}));
}

namespace {

/**
 * Share of the rate that owners may grant while silent members may use their local shares, or have owners of their own.
 */
double PresentShare(const StateParts& parts, TimePoint now) {
  double known = 0;
  double silent = 0;
  double overdue = 0;
  const Duration usual_age = std::max<Duration>(kMinOverdueTime, 2 * parts.members.MeanHeartbeatAge());
  for (const Membership::Entry& entry : parts.members.All()) {
    if (entry.member.leaving)
      continue;
    ++known;
    if (!parts.members.IsAlive(entry, now) && now - entry.heard_at < kSilentMemberTime)
      ++silent;
    if (now - entry.heard_at > usual_age && now - entry.heard_at < kSilentMemberTime)
      ++overdue;
  }
  if (overdue >= kPartitionShare * known)
    silent = overdue;
  const bool cut_off = !IsInTouchWithPeers(parts, now) && parts.members.CountServing(now) > 1;
  return cut_off ? 1 / known : 1 - silent / std::max(1.0, known);
}

/** Number of silent members that come before this instance in the order of the shard. */
int CountSilentBefore(const StateParts& parts, uint64_t seed, TimePoint now) {
  const uint64_t own = HashCombine(seed, parts.self_hash);
  const auto& entries = parts.members.All();
  return static_cast<int>(std::count_if(entries.begin(), entries.end(), [&](const Membership::Entry& entry) {
    const bool silent = !parts.members.IsAlive(entry, now) && now - entry.heard_at < kSilentMemberTime;
    return silent && !entry.member.leaving && HashCombine(seed, entry.name_hash) < own;
  }));
}

}  // namespace

QuotaShards::Part QuotaPartOf(StateParts& parts, uint64_t seed, TimePoint now, Effects& effects) {
  QuotaShards::Part part;
  part.rate = PresentShare(parts, now);
  // If many members are silent to this instance, as after a start of all, those before it may be heard by others and
  // then grant tokens too. Only instances that do not hear them ask this one.
  const int silent_before = part.rate < kSettledShare ? CountSilentBefore(parts, seed, now) : 0;
  if (silent_before > 0) {
    part.rate *= std::max(kLossFactor, std::pow(1 - part.rate, silent_before));
    part.burst = part.rate;
  }
  const Membership::Entry* first = parts.members.FirstTwoFor(seed, now)[0];
  if (first == nullptr || first->name_hash == parts.self_hash)
    return part;
  QuotaPeer& peer = QuotaPeerOf(parts, first->name_hash);
  if (now - peer.queried_at >= kPeerQueryPeriod) {
    peer.queried_at = now;
    SendQuotaRequest(parts, first->member.peer_address, {}, now, effects);
  }
  if (now - peer.heard_at < kPeerHeardTime) {
    part.rate *= kLossFactor;
    part.burst = std::min(part.burst, kLossFactor);
  }
  return part;
}

bool TakeFromLocalShare(const StateParts& parts, const AccountState& state, QuotaClient& client, TimePoint now) {
  const double instances = QuotaShareCount(parts, now);
  // If each of many instances held one token of a small quota, all of them could exceed it at once, so that only some
  // have a share. They are chosen by hash, because they cannot agree.
  const double shares = std::min(instances, std::max(1.0, state.config.burst + kMaxExtraShares));
  const auto position =
      static_cast<double>(HashCombine(HashCombine(kLocalShareSeed, state.name_hash), parts.self_hash));
  if (position / static_cast<double>(std::numeric_limits<uint64_t>::max()) * instances > shares)
    return false;
  double factor = 1;
  if (IsInTouchWithPeers(parts, now))
    factor = kLossFactor;
  else if (now - parts.quota.heard_at < Membership::kMaxSilentTimeout)
    factor = kUnnoticedFactor;
  const double limit = std::max(1.0, state.config.burst / shares);
  if (client.fallback_filled_at == TimePoint())
    client.fallback_tokens = limit / 2 * factor;
  else
    client.fallback_tokens +=
        Seconds(now - client.fallback_filled_at).count() * state.config.rate_per_second / shares * factor;
  client.fallback_tokens = std::min(client.fallback_tokens, limit);
  client.fallback_filled_at = now;
  if (client.fallback_tokens < 1)
    return false;
  client.fallback_tokens -= 1;
  return true;
}

}  // namespace sassafras
