#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "lists/lists.h"

namespace sassafras {

constexpr std::chrono::milliseconds kNetworkLow{1};
constexpr std::chrono::milliseconds kNetworkHigh{5};
constexpr std::chrono::milliseconds kWorkLow{2};
constexpr std::chrono::milliseconds kWorkHigh{60};
constexpr std::chrono::milliseconds kSeatTtl{6'000};
constexpr std::chrono::milliseconds kSeatRelied{5'400};
constexpr std::chrono::milliseconds kProbeWindow{10'000};
/** Time from the first sign of a leaving endpoint to its last new request. */
constexpr std::chrono::milliseconds kLeaveLimit{3'000};
constexpr size_t kSlots = 3;

/** Lists of one service with a plan that may be repeated and one that may not. */
Lists MakeWorldLists();

/** Address at which an instance hears its peers. */
std::string PeerAddress(size_t instance);

}  // namespace sassafras
