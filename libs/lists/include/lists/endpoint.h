#pragma once

#include <cstdint>
#include <string>

namespace sassafras {

/** An endpoint of a service, from an `[[endpoint]]` row of `upstreams.toml` or from the platform's store. */
struct Endpoint {
  std::string name;
  std::string service;
  /** IP address and port, such as "127.0.0.1:9001". */
  std::string address;
  std::string failure_domain;
  /** Requests that the endpoint runs concurrently. */
  uint32_t slots = 1;
  /** Connections that the endpoint accepts from all entry instances together. */
  uint32_t connections = 1;
};

}  // namespace sassafras
