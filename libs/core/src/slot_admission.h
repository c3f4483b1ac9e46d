#pragma once

#include "base/clock.h"
#include "base/handle.h"

namespace sassafras {

struct CallState;
struct ServiceState;
struct StateParts;

/** Updates the share of probed endpoints without a free slot by the answer of one of them. */
void RecordProbedUtilization(ServiceState& service, float utilization, TimePoint now);

/** Whether free slots of the service are scarce, by the endpoints probed lately. */
bool AreSlotsScarce(const ServiceState& service, TimePoint now);

/** Returns the longest estimate, in microseconds, at which the call may still take a slot of a full endpoint. */
float MaxAcceptableLatency(const CallState& call, TimePoint now);

/**
 * Whether the call should be rejected rather than sent to the endpoint, because it would end too late there and its
 * slot is needed by calls that end in time. `estimate` is the one by which the endpoint was chosen.
 */
bool WouldWasteSlot(StateParts& parts, const CallState& call, EndpointHandle endpoint, float estimate, TimePoint now);

}  // namespace sassafras
