#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "lists/lists.h"

namespace sassafras {

constexpr std::chrono::milliseconds kMinNetworkDelay{1};
constexpr std::chrono::milliseconds kMaxNetworkDelay{5};
constexpr std::chrono::milliseconds kMinServiceTime{2};
constexpr std::chrono::milliseconds kMaxServiceTime{60};
/** How long the platform leases a probe seat. */
constexpr std::chrono::milliseconds kSeatTtl{6'000};
/** How long an instance uses a seat, counted from before its request for the seat: less than kSeatTtl. */
constexpr std::chrono::milliseconds kSeatValidity{5'400};
/** Window in which the probes of an endpoint are counted. */
constexpr std::chrono::milliseconds kProbeRateWindow{10'000};
/** How long the fleet may send requests to a leaving endpoint after the first instance learned that it is leaving. */
constexpr std::chrono::milliseconds kMaxLeavingNoticeDelay{3'000};
constexpr size_t kEndpointSlots = 3;

/** Makes lists of one service with a plan whose calls may be repeated and one whose calls may not. */
Lists MakeSimulationLists();

/** Address at which an instance receives messages from its peers. */
std::string PeerAddress(size_t instance);

}  // namespace sassafras
