#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

namespace sassafras {

/** Protocol of the platform's store. */
enum class StoreKind : uint8_t {
  /** The etcd v3 JSON gateway. */
  kEtcd,
  /** The key-value store of the users' platform; see platform/. */
  kPlatform,
};

/** Settings of one entry instance, from its TOML file. */
struct Settings {
  /** Name of the instance, unique in the fleet. */
  std::string instance;
  std::string failure_domain;
  /** IP:port where callers connect. */
  std::string listen;
  /** IP:port for other entry instances: UDP for gossip, TCP for RPC. */
  std::string peer_listen;
  /** IP:port of each server of the platform's key-value store. */
  std::vector<std::string> platform;
  /** Protocol of the store at these addresses. */
  StoreKind store = StoreKind::kEtcd;
  /** Region of the failure domain; empty if there is only one. */
  std::string region;
  /** Further addresses that serve health checks, address answers and counters; may be empty. */
  std::vector<std::string> page_listen;
  /** Extra attempts, retries and hedges together, that the fleet may make for each call of a service. */
  double retry_ratio = 0;
  /** Extra attempts that the fleet may make in one window in addition to those of the ratio. */
  double retry_slack = 0;
  /** Whether to send load probes to a few endpoints before each attempt. */
  bool ask_first = false;
  /** Time between gossip rounds. */
  std::chrono::microseconds gossip_period{};
  /** Peers to contact while the platform is down, by their peer_listen address. */
  std::vector<std::string> seed_peers;
  /** Rule that selects an endpoint for a request; see docs/OPERATORS.md. */
  std::string selection;
  /** Time that callers may cache an address answer. */
  std::chrono::microseconds address_ttl{};
  /** Time that an upstream may take to accept a connection. */
  std::chrono::microseconds connect_timeout{};
  /** Longest time that a planned stop waits for requests in progress. */
  std::chrono::microseconds stop_limit{};
  /** Time from the platform's stop request until it kills the process; 0 if it never does. */
  std::chrono::microseconds kill_after{};
  /** Most requests of one service that may wait for an endpoint. */
  uint32_t queue_limit = 0;
  /** Most caller connections open at once. */
  uint32_t caller_connections = 0;
  /** Most entry instances in the fleet; each may use an equal share of an endpoint's connections. */
  uint32_t fleet_limit = 0;
  /** Most idempotency records kept. */
  uint32_t record_limit = 0;
  /** Whether this instance may take part in probing. */
  bool probing = true;
  /** Whether a second attempt may start while the first one is late. */
  bool hedging = true;
  /** Whether requests wait in this instance while all endpoints appear full. */
  bool late_binding = true;
  /** Time after which a removed API key must have no effect on any instance; 0 for no bound. */
  std::chrono::microseconds key_revocation_limit{};
  /** Time within which no instance may send to an endpoint any more, after the store accepted that it leaves. */
  std::chrono::microseconds endpoint_leave_limit{};
  /** Time within which new lists must be in force on every instance, after the store accepted them. */
  std::chrono::microseconds lists_apply_limit{};
  /** Hedges per 100 calls that a service may make; 0 turns hedging off. */
  double hedge_limit = 0;
};

/** Parses and checks the text of a settings file; errors name `file_name`, the line and the remedy. */
absl::StatusOr<Settings> ParseSettings(std::string_view text, std::string_view file_name);

/** Reads, parses and checks a settings file. */
absl::StatusOr<Settings> LoadSettings(const std::string& path);

}  // namespace sassafras
