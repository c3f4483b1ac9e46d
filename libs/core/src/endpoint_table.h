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

/** Endpoints of the lists in force. A position keeps its meaning while the endpoint is listed. */
class EndpointTable {
 public:
  /** Adds the endpoint or updates its row; returns its position. */
  EndpointHandle Upsert(const Endpoint& listing, ServiceHandle service, TimePoint now, bool start_ramp);
  /** Marks all rows inactive before lists are applied. */
  void DeactivateAll(TimePoint now);
  /** Frees positions that have been inactive for a while and have no call in progress. */
  void ReclaimInactive(TimePoint now);

  EndpointState& operator[](EndpointHandle handle) { return m_states[handle.Index()]; }
  const EndpointState& operator[](EndpointHandle handle) const { return m_states[handle.Index()]; }
  const Endpoint& Listing(EndpointHandle handle) const { return m_listings[handle.Index()]; }
  size_t Size() const { return m_states.size(); }

  /** Finds an endpoint by the hash of its name; invalid if it is not listed. */
  EndpointHandle FindByHash(uint64_t name_hash) const;

  /**
   * Records that `incarnation` of an endpoint leaves; 0 stands for the newest one seen.
   * @return whether the endpoint was not known to leave before
   */
  bool MarkLeaving(EndpointHandle handle, uint64_t incarnation);
  /**
   * Records that `incarnation` is alive. An incarnation known to leave stays so; a newer one starts
   * with a ramp.
   * @return whether an endpoint that was leaving is back
   */
  bool RecordIncarnation(EndpointHandle handle, uint64_t incarnation, TimePoint now);

  /** Applies a load report; its drain mark is not looked at. */
  void ApplyReport(EndpointHandle handle, const LoadReport& report, TimePoint now);

 private:
  std::vector<EndpointState> m_states;
  std::vector<Endpoint> m_listings;
  std::vector<EndpointHandle> m_free;
  absl::flat_hash_map<uint64_t, EndpointHandle> m_by_hash;
};

}  // namespace sassafras
