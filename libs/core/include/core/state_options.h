#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "core/member.h"
#include "core/selection_rule.h"

namespace sassafras {

/** Configuration of an instance at its start. */
struct StateOptions {
  Member self;
  /** Peer addresses to contact before other members are known. */
  std::vector<std::string> seed_peers;
  uint64_t random_seed = 1;
  TimePoint start;
  SelectionRule selection = SelectionRule::kHotCold;
  /** Maximum number of waiting calls per service and kind of work. */
  uint32_t queue_limit = 512;
  /** Most entry instances in the fleet; each uses an equal share of an endpoint's connections. */
  uint32_t fleet_limit = 24;
  /** Most idempotency records kept. */
  uint32_t record_limit = 65'536;
  /** Most bytes of recorded answers kept. */
  uint64_t record_bytes_limit = 16u << 20u;
  /** How long callers may cache an answer with addresses. */
  std::chrono::milliseconds address_ttl{5'000};
  /** Longest time that a leaving instance still accepts calls; what has not begun to run soon after it is rejected. */
  std::chrono::milliseconds linger_limit = std::chrono::hours(1);
  /**
   * Extra attempts that the fleet may make per service: the tokens that each call adds to the budget, and the maximum
   * number of tokens.
   */
  double retry_ratio = 0.2;
  double retry_slack = 480.0;
  /** Whether endpoints come from Event::EndpointsReceived instead of the lists. */
  bool discovery = false;
  /** Whether load probes are sent to a few endpoints before each attempt. */
  bool ask_first = false;
  /** Load probes that the whole fleet may send to one endpoint per second; a fixed fraction of this is used. */
  double load_probes_per_endpoint_per_second = 60.0;
  std::chrono::milliseconds gossip_period{250};
  /** Peers that receive each gossip round. */
  uint32_t gossip_fanout = 2;
  bool probing = true;
  bool hedging = true;
  /** Whether calls wait in this instance while all endpoints seem full; otherwise they are sent at once. */
  bool late_binding = true;
  /**
   * Time after which a removed API key must have no effect on any instance; zero for no bound. Calls with keys run only
   * while the lists were confirmed within a fraction of it.
   */
  std::chrono::milliseconds key_revocation_limit{};
  /** Time within which every instance must act on it that an endpoint leaves, after the store accepted the change. */
  std::chrono::milliseconds endpoint_leave_limit{2'000};
  /** The same for new lists. */
  std::chrono::milliseconds lists_apply_limit{2'000};
  /** Hedges per call that a service may make, unless its plan or service sets another limit; 0 turns hedging off. */
  double hedge_limit = 0.1;
};

}  // namespace sassafras
