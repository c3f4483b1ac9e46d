#include "roster.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "state_parts.h"
#include "warmup_limit.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/** Time after the start in which gossip finds the other instances. */
constexpr milliseconds kGossipSettleTime{1'500};
/** Shortest time between two writes. */
constexpr milliseconds kMinWriteInterval{3'000};
/** Shortest time between two reads. */
constexpr milliseconds kMinReadInterval{900};
/** Most instances on the roster: enough to find all others by gossip in a fleet of any size. */
constexpr size_t kMaxRosterMembers = 256;
/** The roster is rewritten when less than this share of its instances is alive. */
constexpr double kMinAliveShare = 0.75;
/** "roster" in ASCII. */
constexpr uint64_t kWriterRankSeed = 0x726f73746572;

/** Members for the roster: alive, not leaving, and with a known incarnation. */
std::vector<Member> MembersToWrite(const StateParts& parts, TimePoint now) {
  std::vector<Member> members;
  for (const Membership::Entry& entry : parts.members.All()) {
    if (members.size() == kMaxRosterMembers)
      break;
    const bool known = entry.member.incarnation != 0 && parts.members.IsAlive(entry, now);
    if (known && !entry.member.leaving)
      members.push_back(entry.member);
  }
  return members;
}

bool IsOutdated(const StateParts& parts, const std::vector<Member>& alive) {
  const auto is_written = [&](const Member& member) {
    const auto found = parts.roster.peers.find(member.name);
    return found != parts.roster.peers.end() && found->second == member.peer_address;
  };
  const auto written = static_cast<size_t>(std::count_if(alive.begin(), alive.end(), is_written));
  if (written < alive.size())
    return true;
  return static_cast<double>(written) < kMinAliveShare * static_cast<double>(parts.roster.peers.size());
}

/** Whether this instance is a seed peer: starting instances contact it first, so it learns of all of them first. */
bool IsSeed(const StateParts& parts) {
  const auto& seeds = parts.options.seed_peers;
  return std::find(seeds.begin(), seeds.end(), parts.self.peer_address) != seeds.end();
}

bool IsRosterWriter(const StateParts& parts, TimePoint now) {
  const Duration running = now - parts.options.start;
  if (!parts.self.store_reachable || running < kGossipSettleTime)
    return false;
  const bool nobody_wrote = parts.roster.peers.empty();
  if (nobody_wrote && running < 2 * kGossipSettleTime)
    return IsSeed(parts);
  return parts.members.RankPreferringReachable(kWriterRankSeed, parts.self_hash, now) == 0;
}

bool IsReadDue(const StateParts& parts, TimePoint now) {
  if (now - parts.roster.last_read < kMinReadInterval)
    return false;
  const bool alone = parts.members.CountServing(now) <= 1;
  const bool missing_after_settling =
      parts.roster.peers.empty() && now - parts.options.start >= kGossipSettleTime + kMinReadInterval;
  return alone || missing_after_settling || !parts.roster.read || now >= parts.roster.rereads_at;
}

}  // namespace

void OnRosterReceived(StateParts& parts, const Event::RosterReceived& event) {
  parts.roster.read = true;
  if (event.now >= parts.roster.rereads_at)
    parts.roster.rereads_at = TimePoint::max();
  parts.roster.peers.clear();
  std::vector<Member> others;
  for (const Member& member : event.members) {
    parts.roster.peers.emplace(member.name, member.peer_address);
    if (member.name != parts.self.name)
      others.push_back(member);
  }
  parts.members.ApplyListing(others, false, event.now);
  UpdateWarmupFleet(parts, event.now);
}

bool KnowsFleet(const StateParts& parts, TimePoint now) {
  return !parts.options.discovery || !parts.roster.peers.empty() || now - parts.options.start >= 2 * kGossipSettleTime;
}

void RefreshRoster(StateParts& parts, TimePoint now, Effects& effects) {
  RosterState& roster = parts.roster;
  if (!parts.options.discovery || parts.self.leaving)
    return;
  if (IsReadDue(parts, now)) {
    roster.last_read = now;
    effects.push_back(Effect::ReadRoster{});
  }
  if (!roster.read || now - roster.last_write < kMinWriteInterval || !IsRosterWriter(parts, now))
    return;
  std::vector<Member> members = MembersToWrite(parts, now);
  if (!IsOutdated(parts, members))
    return;
  roster.last_write = now;
  effects.push_back(Effect::WriteRoster{std::move(members)});
}

}  // namespace sassafras
