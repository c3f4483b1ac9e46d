#include "evacuations.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "control.h"
#include "core/gossip_message.h"
#include "core/store_revision.h"
#include "dispatch.h"
#include "gossip.h"
#include "lists_apply.h"
#include "state_parts.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/**
 * Whether what is known as of `revision` replaces what is known as of `known`. A read that may lag does not tell its
 * era. It counts only against others of its kind: after a restore its number may be higher than that of newer data.
 */
bool IsNewer(uint64_t revision, uint64_t known) {
  if (known == 0 || revision == 0)
    return revision != 0;
  const bool era_unknown = EraOf(revision) == 0;
  const bool known_era_unknown = EraOf(known) == 0;
  return era_unknown == known_era_unknown ? revision > known : known_era_unknown;
}

/** Logs each failure domain of `names` that is not in `others`. */
void LogDifference(StateParts& parts,
                   LogRecord::Kind kind,
                   const std::vector<std::string>& names,
                   const std::vector<std::string>& others,
                   const char* source,
                   milliseconds age) {
  for (const std::string& name : names) {
    if (std::binary_search(others.begin(), others.end(), name))
      continue;
    LogRecord record;
    record.kind = kind;
    record.subject = name;
    record.version = parts.evacuations.known.as_of;
    record.source = source;
    record.age = age;
    parts.log_records.push_back(std::move(record));
  }
}

/** Takes over a newer set; returns whether the set changed. */
bool Apply(StateParts& parts,
           GossipMessage::Evacuations newer,
           const char* source,
           milliseconds age,
           TimePoint now,
           Effects& effects) {
  if (!IsNewer(newer.as_of, parts.evacuations.known.as_of))
    return false;
  std::vector<std::string>& names = newer.failure_domains;
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  // The revision is taken over even if the set is the same: an older set that differs must not replace it later.
  const GossipMessage::Evacuations before = std::exchange(parts.evacuations.known, std::move(newer));
  const std::vector<std::string>& current = parts.evacuations.known.failure_domains;
  const bool changed = current != before.failure_domains;
  if (changed) {
    LogDifference(parts, LogRecord::Kind::kDomainEvacuated, current, before.failure_domains, source, age);
    LogDifference(parts, LogRecord::Kind::kEvacuationEnded, before.failure_domains, current, source, age);
    ApplyDiscoveredEndpoints(parts, now);
  }
  StartServing(parts);
  if (!changed)
    return false;
  // Calls that wait go to the remaining endpoints or those that are back, or are rejected.
  for (ServiceState& service : parts.services)
    DispatchWaiting(parts, service, now, effects);
  return true;
}

}  // namespace

void OnEvacuationsReceived(StateParts& parts, const Event::EvacuationsReceived& event, Effects& effects) {
  const bool first = parts.evacuations.known.as_of == 0;
  const char* source = event.may_lag ? "store, may lag" : "store";
  const bool changed = Apply(parts, event.evacuations, source, milliseconds::zero(), event.now, effects);
  // A starting instance tells its peers nothing new.
  if (changed && !first)
    AnnounceEvacuations(parts, event.now, effects);
}

void ApplyEvacuationsFromPeer(StateParts& parts, const GossipMessage& message, TimePoint now, Effects& effects) {
  if (!parts.options.discovery || !Apply(parts, message.evacuations, "peer", message.store_age, now, effects))
    return;
  // Should the relays of a failure domain miss the announcement, this gossip round reaches its other instances.
  parts.gossip_pending = true;
  if (message.relay)
    RelayEvacuations(parts, now, effects);
}

bool HasOutdatedEvacuations(const StateParts& parts, const GossipMessage& message) {
  const GossipMessage::Evacuations& known = parts.evacuations.known;
  return IsNewer(known.as_of, message.evacuations.as_of) &&
         (message.evacuations.as_of == 0 || known.failure_domains != message.evacuations.failure_domains);
}

}  // namespace sassafras
