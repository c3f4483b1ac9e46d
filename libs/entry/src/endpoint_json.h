#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "core/event.h"

namespace sassafras {

/** Formats what an instance knows of the endpoints, for a peer that cannot reach the store. */
std::string EncodeEndpoints(const std::vector<EndpointChange>& endpoints,
                            uint64_t as_of,
                            std::chrono::milliseconds age);

/** Parses EncodeEndpoints(); the event's time is left unset. */
absl::StatusOr<Event::EndpointsReceived> DecodeEndpoints(std::string_view text);

}  // namespace sassafras
