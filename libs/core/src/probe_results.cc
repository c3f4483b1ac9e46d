#include "probe_results.h"

#include <algorithm>

#include "selection.h"
#include "state_parts.h"

namespace sassafras {

bool WasProbed(const CallState& call, EndpointHandle endpoint) {
  const auto end = call.probed.begin() + call.probed_count;
  return std::find(call.probed.begin(), end, endpoint) != end;
}

float ProbedUtilization(const CallState& call, EndpointHandle endpoint) {
  for (size_t i = 0; i < call.probed_count; ++i) {
    if (call.probed[i] == endpoint)
      return call.probed_utilizations[i];
  }
  return 0;
}

EndpointHandle BestProbedEndpoint(StateParts& parts,
                                  const CallState& call,
                                  float max_utilization,
                                  TimePoint now,
                                  float& estimate) {
  EndpointHandle best;
  estimate = kNoEstimate;
  for (size_t i = 0; i < call.probed_count; ++i) {
    const bool has_room = call.probed_utilizations[i] <= max_utilization;
    if (has_room && call.estimates_us[i] < estimate && IsEligible(parts, call, call.probed[i], now)) {
      best = call.probed[i];
      estimate = call.estimates_us[i];
    }
  }
  return best;
}

DispatchBasis ProbeBasis(const CallState& call) {
  DispatchBasis basis;
  basis.attempt = call.attempts;
  basis.asked = call.probed_count;
  const auto end = call.estimates_us.begin() + call.probed_count;
  const auto unanswered = std::count(call.estimates_us.begin(), end, kNoEstimate);
  basis.answered = static_cast<uint8_t>(call.probed_count - unanswered);
  return basis;
}

}  // namespace sassafras
