#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

namespace sassafras {

/**
 * Probe seats, each held by at most one instance at a time under a lease in the platform's store. Endpoints are divided
 * among the seats; only the holder of a seat may probe its endpoints.
 */
class SeatLeases {
 public:
  virtual ~SeatLeases() = default;

  /**
   * Acquires the seat, or renews its lease if this instance holds it.
   * @return whether the seat is held for the whole TTL, counted from the start of the call
   */
  virtual boost::asio::awaitable<absl::StatusOr<bool>> Claim(uint32_t seat) = 0;
  /** Releases the seat if this instance holds it. */
  virtual boost::asio::awaitable<absl::Status> Release(uint32_t seat) = 0;
  /** Time to live of a lease. */
  virtual std::chrono::seconds Ttl() const = 0;
};

}  // namespace sassafras
