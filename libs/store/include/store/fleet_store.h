#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "store/endpoints_update.h"
#include "store/plans_snapshot.h"
#include "store/roster_snapshot.h"

namespace sassafras {

struct Member;

/** Consistency of a read. */
enum class ReadConsistency : uint8_t {
  /** The result includes every write that was acknowledged before the read. */
  kLinearizable,
  /** The result may be stale; much cheaper. */
  kSerializable,
};

/**
 * A platform store that holds the operators' plans, the endpoints and the roster of entry instances, and reports
 * changes of them. The roster is the list of entry instances that the instances themselves write.
 *
 * Any call may fail although it took effect. Errors of kind kOutcomeUnknown and kUnreachable mean that the store did
 * not answer or did not process the call; every other error means that its answer is invalid.
 */
class FleetStore {
 public:
  virtual ~FleetStore() = default;

  /** Decodes a plans document that was received from a peer. */
  virtual absl::StatusOr<PlansSnapshot> DecodePlans(std::string_view document) const = 0;
  virtual boost::asio::awaitable<absl::StatusOr<PlansSnapshot>> ReadPlans(ReadConsistency consistency) = 0;
  /** Waits up to `wait` for the plans to change after `after_revision`; returns generation 0 if they did not. */
  virtual boost::asio::awaitable<absl::StatusOr<PlansSnapshot>> WatchPlans(uint64_t after_revision,
                                                                           std::chrono::milliseconds wait) = 0;
  virtual boost::asio::awaitable<absl::StatusOr<EndpointsUpdate>> ReadEndpoints(ReadConsistency consistency) = 0;
  /**
   * Returns the changes after `after_revision`, and waits up to `wait` for one if there is none. Returns all endpoints
   * if the store has discarded these changes.
   */
  virtual boost::asio::awaitable<absl::StatusOr<EndpointsUpdate>> WatchEndpoints(uint64_t after_revision,
                                                                                 std::chrono::milliseconds wait) = 0;
  /** Reads the roster. The result may be stale. */
  virtual boost::asio::awaitable<absl::StatusOr<RosterSnapshot>> ReadRoster() = 0;
  /**
   * Writes the roster if its revision in the store is still `revision`.
   * @return the roster stored after the call, whether this write or that of another instance made it
   */
  virtual boost::asio::awaitable<absl::StatusOr<RosterSnapshot>> WriteRoster(const std::vector<Member>& members,
                                                                             uint64_t revision) = 0;
};

}  // namespace sassafras
