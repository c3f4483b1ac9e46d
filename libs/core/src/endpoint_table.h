#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/clock.h"
#include "base/handle.h"
#include "core/load_report.h"
#include "endpoint_state.h"
#include "lists/endpoint.h"

namespace sassafras {

/**
 * Endpoints that are listed or were until recently. A handle is reused only some time after its endpoint was unlisted
 * or moved to another address.
 */
class EndpointTable {
 public:
  /** Adds or updates an endpoint; `start_ramp` brings a new one to full load gradually. */
  EndpointHandle Upsert(const Endpoint& listing, ServiceHandle service, TimePoint now, bool start_ramp);
  /** Marks all endpoints inactive, before lists are applied. */
  void DeactivateAll(TimePoint now);
  /**
   * Frees the positions of endpoints that have been inactive for a while, have no attempt in progress and do not hold
   * off requests.
   */
  void ReclaimInactive(TimePoint now);

  EndpointState& operator[](EndpointHandle handle) { return m_states[handle.Index()]; }
  const EndpointState& operator[](EndpointHandle handle) const { return m_states[handle.Index()]; }
  const Endpoint& Listing(EndpointHandle handle) const { return m_listings[handle.Index()]; }
  size_t Size() const { return m_states.size(); }

  /** Finds an endpoint by the hash of its name; returns an invalid handle if it is unknown. */
  EndpointHandle FindByHash(uint64_t name_hash) const;

  /**
   * Records that `incarnation` of an endpoint is leaving; 0 stands for the newest one seen.
   * @return whether this was not known before
   */
  bool MarkLeaving(EndpointHandle handle, uint64_t incarnation);
  /** Records that `incarnation`, which is not 0, of an endpoint that is not listed is leaving. */
  void MarkUnlistedLeaving(uint64_t name_hash, uint64_t incarnation, TimePoint now);
  /** Marks an endpoint that was listed again as leaving if that was known of it before. */
  void RestoreLeavingMark(EndpointHandle handle);
  /**
   * Records that `incarnation` is alive. A restarted endpoint is no longer leaving and starts with a ramp; an
   * incarnation that is already known changes nothing.
   * @return whether an endpoint that was leaving has returned
   */
  bool RecordIncarnation(EndpointHandle handle, uint64_t incarnation, TimePoint now);

  /** Stores `in_flight` and `slowdown` of a load report. */
  void ApplyReport(EndpointHandle handle, const LoadReport& report, TimePoint now);

 private:
  /** The newest incarnation known to be leaving of an endpoint that has no position in the table. */
  struct UnlistedLeaving {
    uint64_t incarnation = 0;
    TimePoint recorded_at{};
  };

  /** Keeps the leaving mark of an endpoint that loses its position in the table. */
  void KeepLeavingMark(const EndpointState& state, TimePoint now);

  std::vector<EndpointState> m_states;
  std::vector<Endpoint> m_listings;
  std::vector<EndpointHandle> m_free;
  absl::flat_hash_map<uint64_t, EndpointHandle> m_by_hash;
  absl::flat_hash_map<uint64_t, UnlistedLeaving> m_unlisted_leaving;
};

}  // namespace sassafras
