#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace sassafras {

/** A service, from a `[[service]]` row of `upstreams.toml` or from the platform's store. */
struct Service {
  std::string name;
  /** Probes per second that all entry instances together may send to one endpoint. */
  double probe_budget = 0.0;
  /** Path of a probe request. */
  std::string probe_path;
  /** Connections that each endpoint accepts from all entry instances together; 0 if endpoints set their own limits. */
  uint32_t connections = 0;
  /** Largest share of an endpoint's slots that Work::kLong requests may take, in percent. */
  double long_share = 50.0;
  /** Requests per second that one endpoint tolerates from all entry instances while it warms up; 0 for no limit. */
  double warmup_rate = 0.0;
  /** Time that an endpoint takes to warm up after its start. */
  std::chrono::milliseconds warmup_duration{};
  /** Hedges per call that the service's plans may make, from 0 to 1; not set: the limit in the settings. */
  std::optional<double> hedge_limit;
};

}  // namespace sassafras
