#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "net/stream_stop.h"
#include "store/stored_value.h"

namespace sassafras {

/** The place where the platform keeps the operators' lists. */
class ConfigStore {
 public:
  virtual ~ConfigStore() = default;

  /** Reads the current document. The answer may lag behind. */
  virtual boost::asio::awaitable<absl::StatusOr<StoredValue>> Read() = 0;

  /** Reads the revision of the document without its value. */
  virtual boost::asio::awaitable<absl::StatusOr<StoredValue>> ReadRevision() = 0;

  /**
   * Writes `value` if the key still has `expected_revision` (0: does not exist).
   * @return whether it was written; kOutcomeUnknown if the reply was lost; kUnreachable if nothing was sent
   */
  virtual boost::asio::awaitable<absl::StatusOr<bool>> CompareAndSwap(int64_t expected_revision, std::string value) = 0;

  /** Calls `on_change` for each change until the connection is lost or `stop` is requested. */
  virtual boost::asio::awaitable<absl::Status> Watch(std::function<void(StoredValue)> on_change, StreamStop& stop) = 0;
};

}  // namespace sassafras
