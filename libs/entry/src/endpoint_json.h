#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "core/event.h"

namespace sassafras {

/** Encodes the endpoints known to this instance as JSON, for a peer that cannot reach the store. */
std::string EncodeEndpoints(const std::vector<EndpointChange>& endpoints,
                            uint64_t as_of,
                            std::chrono::milliseconds age);

/** Decodes the result of EncodeEndpoints() received from a peer; the caller sets the event's `now`. */
absl::StatusOr<Event::EndpointsReceived> DecodeEndpoints(std::string_view text);

}  // namespace sassafras
