#include "endpoint_feed.h"

#include <algorithm>
#include <iterator>

#include <absl/container/flat_hash_set.h>

#include "base/hash.h"
#include "core/store_revision.h"

namespace sassafras {
namespace {

/** Time for which removed endpoints are remembered, so that late changes to them are recognised. */
constexpr std::chrono::minutes kGoneEntryRetention{2};

/** Time after a restore in which the store may list endpoints that have ended: until their entries expire. */
constexpr std::chrono::seconds kOutdatedEntryLifetime{6};
/** Difference between two statements of the end of a warm-up up to which they mean the same. */
constexpr std::chrono::seconds kWarmupTolerance{2};

uint64_t HashOf(const EndpointChange& change) {
  const uint64_t kind = Hash64(change.row.address, static_cast<uint64_t>(change.kind));
  const uint64_t row = Hash64(change.row.service, Hash64(change.row.name, kind));
  return HashCombine(row, change.incarnation);
}

bool HasSameContent(const EndpointChange& a, const EndpointChange& b) {
  return HashOf(a) == HashOf(b) && a.row.slots == b.row.slots && a.row.failure_domain == b.row.failure_domain;
}

}  // namespace

void EndpointFeed::ToggleInDigest(const EndpointChange& change) {
  if (change.kind != EndpointChange::Kind::kGone)
    m_digest ^= HashOf(change);
}

bool EndpointFeed::NoteRevision(uint64_t revision, TimePoint now) {
  const uint64_t era = EraOf(revision);
  if (era <= m_era)
    return false;
  const bool restored = m_era != 0;
  m_era = era;
  if (!restored)
    return false;
  store_recovered_at = now;
  m_outdated_entries_until = now + kOutdatedEntryLifetime;
  rereads_at = m_outdated_entries_until;
  return true;
}

bool EndpointFeed::IsLater(uint64_t a, uint64_t b) const {
  // A read that may lag does not tell its era. Without a restore the numbers alone give the order.
  const bool restored = m_outdated_entries_until != TimePoint();
  const bool era_unknown = EraOf(a) == 0 || EraOf(b) == 0;
  return era_unknown && !restored ? RevisionNumber(a) > RevisionNumber(b) : a > b;
}

bool EndpointFeed::IsOutdatedEntry(const KnownEndpoint& known,
                                   const EndpointChange& change,
                                   Source source,
                                   TimePoint now) const {
  const bool listed_long_ago = now < m_outdated_entries_until;
  // Start times come from the wall clock, which may have been set back, so a lower one counts only for a time.
  const bool same_process = change.incarnation == known.change.incarnation ||
                            (change.incarnation < known.change.incarnation && listed_long_ago);
  const bool restored = EraOf(change.revision) > EraOf(known.change.revision) && EraOf(known.change.revision) != 0;
  if (change.kind != EndpointChange::Kind::kServing || !same_process || !restored)
    return false;
  // Leaving is final for a process. An endpoint that was only unlisted may be alive: its next write shows it.
  if (known.change.kind == EndpointChange::Kind::kLeaving)
    return change.incarnation != 0;
  return known.change.kind == EndpointChange::Kind::kGone && source == Source::kListing && listed_long_ago;
}

bool EndpointFeed::RenewWarmup(KnownEndpoint& known, const EndpointChange& change, TimePoint now) {
  // A warm-up that runs never has the same time left twice, so this is a copy of the earlier statement. Taken for a new
  // one, it would extend the warm-up with each renewal and limit the endpoint for good.
  if (change.warmup == known.change.warmup)
    return false;
  known.change.warmup = change.warmup;
  const TimePoint end = now + change.warmup;
  const TimePoint before = std::max(known.warmup_until, now);
  known.warmup_until = end;
  known.warmup_reported_at = now;
  // The same end of a warm-up, stated anew, is no news.
  return end > before + kWarmupTolerance || before > end + kWarmupTolerance;
}

bool EndpointFeed::Apply(const EndpointChange& change, Source source, Duration removal_delay, TimePoint now) {
  const bool gone = change.kind == EndpointChange::Kind::kGone;
  const auto found = m_known.find(change.row.name);
  if (found == m_known.end() && gone)
    return false;
  KnownEndpoint& known = m_known[change.row.name];
  const bool is_new = found == m_known.end();
  const bool later = IsLater(change.revision, known.change.revision) && IsLater(change.revision, known.gone_revision);
  if (!is_new && !later)
    return false;
  if (!is_new && IsOutdatedEntry(known, change, source, now)) {
    if (known.refused_revision == 0)
      ++m_refused_count;
    known.refused_revision = change.revision;
    return false;
  }
  if (known.refused_revision != 0)
    --m_refused_count;
  known.refused_revision = 0;
  if (!is_new && HasSameContent(known.change, change) && known.gone_at == TimePoint::max()) {
    known.change.revision = change.revision;
    return RenewWarmup(known, change, now);
  }
  if (!is_new && gone && known.gone_at != TimePoint::max())
    return false;
  if (gone && removal_delay > Duration::zero() && known.change.kind != EndpointChange::Kind::kGone) {
    // The endpoint stays in use and in the digest until gone_at.
    known.gone_at = now + removal_delay;
    known.gone_revision = change.revision;
    known.last_listed_revision = change.revision - 1;
    m_last_gone_at = std::max(m_last_gone_at, known.gone_at);
    m_next_expiry = std::min(m_next_expiry, known.gone_at);
    // Nothing changes before that time, so there is nothing to report.
    return false;
  }
  if (!is_new)
    ToggleInDigest(known.change);
  const EndpointChange before = known.change;
  known.change = change;
  if (gone) {
    known.change.row = before.row;
    known.change.incarnation = before.incarnation;
  }
  known.gone_at = gone ? now : TimePoint::max();
  if (gone)
    m_next_expiry = std::min(m_next_expiry, now + kGoneEntryRetention);
  known.warmup_until = now + change.warmup;
  known.warmup_reported_at = now;
  ToggleInDigest(known.change);
  return true;
}

void EndpointFeed::RemoveUnlisted(const std::vector<EndpointChange>& listed,
                                  uint64_t as_of_revision,
                                  Duration removal_delay,
                                  TimePoint now,
                                  std::vector<EndpointChange>& changes) {
  absl::flat_hash_set<std::string_view> names;
  for (const EndpointChange& change : listed)
    names.insert(change.row.name);
  std::vector<EndpointChange> gone;
  for (const auto& [name, known] : m_known) {
    if (names.contains(name) || known.change.kind == EndpointChange::Kind::kGone)
      continue;
    EndpointChange& change = gone.emplace_back();
    change.kind = EndpointChange::Kind::kGone;
    change.row.name = name;
    change.revision = as_of_revision;
  }
  for (const EndpointChange& change : gone) {
    if (Apply(change, Source::kListing, removal_delay, now))
      changes.push_back(change);
    // A complete listing shows that the endpoint is gone, but not since when: it was listed at the previous read.
    KnownEndpoint& known = m_known[change.row.name];
    known.last_listed_revision = std::min(known.last_listed_revision, as_of);
  }
}

uint64_t EndpointFeed::CompleteRevision(TimePoint now) const {
  uint64_t complete = as_of;
  if (!MayUseDroppedEndpoints(now) && m_refused_count == 0)
    return complete;
  for (const auto& [name, known] : m_known) {
    if (known.refused_revision != 0)
      complete = std::min(complete, known.refused_revision - 1);
    const bool kept = known.gone_at != TimePoint::max() && known.change.kind != EndpointChange::Kind::kGone;
    if (kept)
      complete = std::min(complete, known.last_listed_revision);
  }
  // Peers learn of a restore by the era, however little of the new history is complete here.
  return std::max(complete, MakeStoreRevision(EraOf(as_of), 0));
}

std::vector<EndpointChange> EndpointFeed::ExpireGone(TimePoint now) {
  std::vector<EndpointChange> expired;
  if (now < m_next_expiry)
    return expired;
  m_next_expiry = TimePoint::max();
  for (auto& [name, known] : m_known) {
    if (known.gone_at == TimePoint::max())
      continue;
    if (known.change.kind != EndpointChange::Kind::kGone && known.gone_at <= now) {
      ToggleInDigest(known.change);
      known.change.kind = EndpointChange::Kind::kGone;
      known.change.revision = known.gone_revision;
      expired.push_back(known.change);
    }
    const bool gone = known.change.kind == EndpointChange::Kind::kGone;
    m_next_expiry = std::min(m_next_expiry, gone ? known.gone_at + kGoneEntryRetention : known.gone_at);
  }
  for (auto entry = m_known.begin(); entry != m_known.end();) {
    const KnownEndpoint& known = entry->second;
    const bool forget = known.change.kind == EndpointChange::Kind::kGone && now - known.gone_at >= kGoneEntryRetention;
    if (forget && known.refused_revision != 0)
      --m_refused_count;
    entry = forget ? m_known.erase(entry) : std::next(entry);
  }
  return expired;
}

}  // namespace sassafras
