#pragma once

#include <cstdint>
#include <string>

namespace sassafras {

/** One `[[service]]` row of `upstreams.toml`. */
struct Service {
  std::string name;
  /** Probes a second that all entry instances together may send to one endpoint. */
  double probe_budget = 0.0;
  /** Path of a probe request. */
  std::string probe_path;
  /** Connections that one endpoint accepts from all entry instances; 0 if each endpoint states its own. */
  uint32_t connections = 0;
  /** Largest part of an endpoint's slots that long work may take, in percent. */
  double long_share = 50.0;
};

}  // namespace sassafras
