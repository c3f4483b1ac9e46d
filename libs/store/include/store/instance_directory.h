#pragma once

#include <cstdint>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "store/directory_listing.h"

namespace sassafras {

/** The platform's list of live and leaving instances. It lags behind reality. */
class InstanceDirectory {
 public:
  virtual ~InstanceDirectory() = default;
  /**
   * Reads the list.
   * @param since  revision of an earlier listing, to get only what changed after it; 0 for the whole list.
   *               Entries that were removed show only in a whole list.
   */
  virtual boost::asio::awaitable<absl::StatusOr<DirectoryListing>> List(int64_t since) = 0;
};

}  // namespace sassafras
