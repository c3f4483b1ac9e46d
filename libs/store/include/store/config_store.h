#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "net/stream_canceller.h"
#include "store/stored_value.h"

namespace sassafras {

/** Storage of the operators' lists on the platform. */
class ConfigStore {
 public:
  virtual ~ConfigStore() = default;

  /** Reads the document. The result may be stale. */
  virtual boost::asio::awaitable<absl::StatusOr<StoredValue>> Read() = 0;

  /** Reads only the revision of the document, not its value. */
  virtual boost::asio::awaitable<absl::StatusOr<StoredValue>> ReadRevision() = 0;

  /**
   * Writes `value` if the key still has `expected_revision`, where 0 means that the key does not exist.
   * @return whether the value was written; error kOutcomeUnknown if the request may have been executed but no valid
   *         reply arrived, kUnreachable if nothing was sent
   */
  virtual boost::asio::awaitable<absl::StatusOr<bool>> CompareAndSwap(int64_t expected_revision, std::string value) = 0;

  /** Calls `on_change` for each change until the connection is lost or `canceller` cancels the watch. */
  virtual boost::asio::awaitable<absl::Status> Watch(std::function<void(StoredValue)> on_change,
                                                     StreamCanceller& canceller) = 0;
};

}  // namespace sassafras
