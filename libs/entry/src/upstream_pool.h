#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/any_io_executor.hpp>

#include "base/clock.h"
#include "upstream_connection.h"

namespace sassafras {

/** Pool of idle connections to endpoints. Only connections whose last exchange completed cleanly are returned to it. */
class UpstreamPool {
 public:
  UpstreamPool(boost::asio::any_io_executor executor, const Clock& clock)
      : m_executor(std::move(executor)), m_clock(clock) {}

  /**
   * Takes a connection that has been idle no longer than `max_idle`, or a new unconnected one.
   * Idle connections that the endpoint has closed or has sent bytes on are dropped.
   */
  std::unique_ptr<UpstreamConnection> Take(const std::string& address, Duration max_idle);
  /** Returns a connection to the pool after a complete exchange. */
  void Return(const std::string& address, std::unique_ptr<UpstreamConnection> connection);
  /** Closes connections that have been idle for longer than the idle limit of the pool. */
  void CloseExpired();
  void Clear() { m_idle.clear(); }
  size_t IdleCount() const;

 private:
  boost::asio::any_io_executor m_executor;
  const Clock& m_clock;
  absl::flat_hash_map<std::string, std::vector<std::unique_ptr<UpstreamConnection>>> m_idle;
};

}  // namespace sassafras
