#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

namespace sassafras {

/** Probe seats, each held by one instance at a time under a lease of the platform. */
class SeatLeases {
 public:
  virtual ~SeatLeases() = default;

  /**
   * Claims the seat, or renews it if it is held already.
   * @return whether the seat is held for the whole TTL, counted from before the call
   */
  virtual boost::asio::awaitable<absl::StatusOr<bool>> Claim(uint32_t seat) = 0;
  /** Gives a held seat back. */
  virtual boost::asio::awaitable<absl::Status> Release(uint32_t seat) = 0;
  /** Time to live of a claim. */
  virtual std::chrono::seconds Ttl() const = 0;
};

}  // namespace sassafras
