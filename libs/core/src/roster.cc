#include "roster.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "parts.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/** Time after the start in which gossip finds the others. */
constexpr milliseconds kGatherTime{1'500};
/** Shortest time between two writes, and between two reads of an instance that is alone. */
constexpr milliseconds kWritePeriod{3'000};
constexpr milliseconds kReadPeriod{900};
/** Instances on the roster: enough to find all others by gossip, however large the fleet is. */
constexpr size_t kMostMembers = 256;
/** The roster is written anew when less than this part of it is alive. */
constexpr double kLeastAlive = 0.75;
constexpr uint64_t kWriterPurpose = 0x726f73746572;

/** Members to write down: alive, not leaving, and known to have started. */
std::vector<Member> MembersToWrite(const Parts& parts, TimePoint now) {
  std::vector<Member> members;
  for (const Membership::Entry& entry : parts.members.All()) {
    if (members.size() == kMostMembers)
      break;
    const bool known = entry.member.incarnation != 0 && parts.members.IsAlive(entry, now);
    if (known && !entry.member.leaving)
      members.push_back(entry.member);
  }
  return members;
}

bool IsOutdated(const Parts& parts, const std::vector<Member>& alive) {
  const auto is_written = [&](const Member& member) {
    const auto found = parts.roster.peers.find(member.name);
    return found != parts.roster.peers.end() && found->second == member.peer_address;
  };
  const auto written = static_cast<size_t>(std::count_if(alive.begin(), alive.end(), is_written));
  if (written < alive.size())
    return true;
  return static_cast<double>(written) < kLeastAlive * static_cast<double>(parts.roster.peers.size());
}

/** Whether others are told to start with this instance, so that it hears of all of them first. */
bool IsSeed(const Parts& parts) {
  const auto& seeds = parts.options.seed_peers;
  return std::find(seeds.begin(), seeds.end(), parts.self.peer_address) != seeds.end();
}

bool IsWriter(const Parts& parts, TimePoint now) {
  const Duration running = now - parts.options.start;
  if (!parts.self.store_reachable || running < kGatherTime)
    return false;
  const bool nobody_wrote = parts.roster.peers.empty();
  if (nobody_wrote && running < 2 * kGatherTime)
    return IsSeed(parts);
  return parts.members.RankForReaching(kWriterPurpose, parts.self_hash, now) == 0;
}

bool IsReadDue(const Parts& parts, TimePoint now) {
  if (now - parts.roster.last_read < kReadPeriod)
    return false;
  const bool alone = parts.members.CountServing(now) <= 1;
  const bool gathered = parts.roster.peers.empty() && now - parts.options.start >= kGatherTime + kReadPeriod;
  return alone || gathered || !parts.roster.read;
}

}  // namespace

void OnRosterReceived(Parts& parts, const Event::RosterReceived& event) {
  parts.roster.read = true;
  parts.roster.peers.clear();
  std::vector<Member> others;
  for (const Member& member : event.members) {
    parts.roster.peers.emplace(member.name, member.peer_address);
    if (member.name != parts.self.name)
      others.push_back(member);
  }
  parts.members.Listed(others, false, event.now);
}

bool KnowsFleet(const Parts& parts, TimePoint now) {
  return !parts.options.discovery || !parts.roster.peers.empty() || now - parts.options.start >= 2 * kGatherTime;
}

void RefreshRoster(Parts& parts, TimePoint now, Effects& effects) {
  RosterState& roster = parts.roster;
  if (!parts.options.discovery || parts.self.leaving)
    return;
  if (IsReadDue(parts, now)) {
    roster.last_read = now;
    effects.push_back(Effect::ReadRoster{});
  }
  if (!roster.read || now - roster.last_write < kWritePeriod || !IsWriter(parts, now))
    return;
  std::vector<Member> members = MembersToWrite(parts, now);
  if (!IsOutdated(parts, members))
    return;
  roster.last_write = now;
  effects.push_back(Effect::WriteRoster{std::move(members)});
}

}  // namespace sassafras
