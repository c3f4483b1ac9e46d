#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "core/member.h"
#include "core/selection_rule.h"

namespace sassafras {

/** What an instance knows of itself when it starts. */
struct StateOptions {
  Member self;
  /** Peers to ask before the platform's list is known; only peer_address is used. */
  std::vector<std::string> seed_peers;
  uint64_t random_seed = 1;
  TimePoint start;
  SelectionRule selection = SelectionRule::kHotCold;
  /** Calls that may wait, for each service. */
  uint32_t queue_limit = 512;
  /** Entry instances the fleet has at most; each uses that part of an endpoint's connections. */
  uint32_t fleet_limit = 24;
  /** Idempotency records kept at most. */
  uint32_t record_limit = 65'536;
  /** Bytes of recorded answers kept at most. */
  uint64_t record_bytes = 16u << 20u;
  /** How long callers keep an address answer. */
  std::chrono::milliseconds address_ttl{5'000};
  std::chrono::milliseconds stop_limit{60'000};
  /** Longest time that a leaving instance still takes calls. */
  std::chrono::milliseconds linger_limit = std::chrono::hours(1);
  /** Extra attempts that the fleet may make for each call of a service, and beyond that in one window. */
  double retry_ratio = 0.2;
  double retry_slack = 480.0;
  /** Whether endpoints come from Event::EndpointsReceived, not from the lists. */
  bool discovery = false;
  /** Whether a few endpoints are asked for their load before each attempt. */
  bool ask_first = false;
  /** Questions that the fleet may ask one endpoint a second. */
  double asks_per_endpoint = 60.0;
  std::chrono::milliseconds gossip_period{250};
  /** Peers told in one round. */
  uint32_t gossip_fanout = 2;
  bool probing = true;
  bool hedging = true;
  /** Whether calls wait here while all endpoints seem full; if not they are sent on at once. */
  bool late_binding = true;
};

}  // namespace sassafras
