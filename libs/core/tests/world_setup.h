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
constexpr std::chrono::milliseconds kSeatTtl{6'000};
constexpr std::chrono::milliseconds kSeatValidity{5'400};
constexpr std::chrono::milliseconds kProbeRateWindow{10'000};
/** Time from the first sign of a leaving endpoint to its last new request. */
constexpr std::chrono::milliseconds kMaxLeavingNoticeDelay{3'000};
constexpr size_t kEndpointSlots = 3;

/** Lists of one service with a plan that may be repeated and one that may not. */
Lists MakeSimulationLists();

/** Address at which an instance hears its peers. */
std::string PeerAddress(size_t instance);

}  // namespace sassafras
