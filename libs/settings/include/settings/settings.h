#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

namespace sassafras {

/** Ways to speak to the platform's store. */
enum class StoreKind : uint8_t {
  /** The etcd v3 JSON gateway. */
  kEtcd,
  /** The users' platform; see platform/. */
  kPlatform,
};

/** Settings of one entry instance, from its TOML file. */
struct Settings {
  /** Name of the instance, unique in the fleet. */
  std::string instance;
  std::string failure_domain;
  /** Where callers connect: IP:port. */
  std::string listen;
  /** Where other entry instances send gossip datagrams and RPC: IP:port, for UDP and TCP. */
  std::string peer_listen;
  /** Addresses of the platform's key-value service: IP:port. */
  std::vector<std::string> platform;
  /** How the platform's store is spoken to. */
  StoreKind store = StoreKind::kEtcd;
  /** Region of the failure domain; empty if there is only one. */
  std::string region;
  /** Further addresses for health checks, for address answers and for counters; empty for none. */
  std::vector<std::string> page_listen;
  /** Extra attempts that the fleet may make for each call of a service, and beyond that in one window. */
  double retry_ratio = 0;
  double retry_slack = 0;
  /** Whether endpoints are asked for their load before each attempt. */
  bool ask_first = false;
  /** Pause between rounds of gossip. */
  std::chrono::microseconds gossip_period{};
  /** Peers to ask while the platform is down: IP:port of their peer_listen. */
  std::vector<std::string> seed_peers;
  /** Name of the selection rule; see docs/OPERATORS.md. */
  std::string selection;
  /** How long callers may keep an address answer. */
  std::chrono::microseconds address_ttl{};
  /** How long an upstream may take to accept a connection. */
  std::chrono::microseconds connect_timeout{};
  /** Longest time a planned stop waits for requests in progress. */
  std::chrono::microseconds stop_limit{};
  /** When the platform kills a process that it asked to stop; 0 if it does not. */
  std::chrono::microseconds kill_after{};
  /** Requests that may wait for an endpoint, for each service. */
  uint32_t queue_limit = 0;
  /** Largest caller connections at once. */
  uint32_t caller_connections = 0;
  /** Entry instances the fleet has at most; bounds each one's part of an endpoint's connections. */
  uint32_t fleet_limit = 0;
  /** Idempotency records kept at most. */
  uint32_t record_limit = 0;
  /** Whether this instance may take part in probing. */
  bool probing = true;
  /** Whether a second attempt may be made while the first one is late. */
  bool hedging = true;
  /** Whether calls wait here while all endpoints seem full. */
  bool late_binding = true;
};

/** Parses and checks the settings text; messages name `file_name`, line and remedy. */
absl::StatusOr<Settings> ParseSettings(std::string_view text, std::string_view file_name);

/** Reads, parses and checks a settings file. */
absl::StatusOr<Settings> LoadSettings(const std::string& path);

}  // namespace sassafras
