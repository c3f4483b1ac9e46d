#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "store/endpoints_reading.h"
#include "store/plans_reading.h"
#include "store/roster_reading.h"

namespace sassafras {

struct Member;

/** How fresh a reading has to be. */
enum class Freshness : uint8_t {
  /** Nothing that was acknowledged before the read is missing. */
  kLatest,
  /** May lag behind; much cheaper. */
  kMayLag,
};

/**
 * A platform store that holds the operators' plans, the endpoints and the entry instances, and tells of changes.
 *
 * Every call may fail although it took effect. A status of kOutcomeUnknown or kUnreachable says that the store did
 * not answer; other statuses are answers.
 */
class FleetStore {
 public:
  virtual ~FleetStore() = default;

  /** Decodes a document that a peer has read. */
  virtual absl::StatusOr<PlansReading> DecodePlans(std::string_view document) const = 0;
  virtual boost::asio::awaitable<absl::StatusOr<PlansReading>> ReadPlans(Freshness freshness) = 0;
  /** Waits until the plans change after revision `after`, or `wait` has passed; generation 0 if they did not. */
  virtual boost::asio::awaitable<absl::StatusOr<PlansReading>> AwaitPlans(uint64_t after,
                                                                          std::chrono::milliseconds wait) = 0;
  virtual boost::asio::awaitable<absl::StatusOr<EndpointsReading>> ReadEndpoints(Freshness freshness) = 0;
  /** What changed after a revision, waiting for a change if there is none; all endpoints if the store has forgotten. */
  virtual boost::asio::awaitable<absl::StatusOr<EndpointsReading>> ReadEndpointChanges(
      uint64_t after,
      std::chrono::milliseconds wait) = 0;
  /** The entry instances that one of them has written down; the answer may lag. */
  virtual boost::asio::awaitable<absl::StatusOr<RosterReading>> ReadRoster() = 0;
  /**
   * Writes the entry instances down, unless somebody else has done so after `revision`.
   * @return what is written down then, whoever wrote it
   */
  virtual boost::asio::awaitable<absl::StatusOr<RosterReading>> WriteRoster(const std::vector<Member>& members,
                                                                            uint64_t revision) = 0;
};

}  // namespace sassafras
