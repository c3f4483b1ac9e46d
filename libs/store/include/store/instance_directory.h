#pragma once

#include <vector>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "store/directory_entry.h"

namespace sassafras {

/** The platform's list of live and leaving instances. It lags behind reality. */
class InstanceDirectory {
 public:
  virtual ~InstanceDirectory() = default;
  virtual boost::asio::awaitable<absl::StatusOr<std::vector<DirectoryEntry>>> List() = 0;
};

}  // namespace sassafras
