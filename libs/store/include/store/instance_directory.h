#pragma once

#include <cstdint>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "store/directory_listing.h"

namespace sassafras {

/** The platform's directory of live and leaving instances. It may lag behind their actual state. */
class InstanceDirectory {
 public:
  virtual ~InstanceDirectory() = default;
  /**
   * Reads the directory.
   * @param since_revision  revision of an earlier listing, to get only the entries changed after it; 0 for all entries.
   *                        Changes do not include removals; compare with a whole listing to find those.
   */
  virtual boost::asio::awaitable<absl::StatusOr<DirectoryListing>> List(int64_t since_revision) = 0;
};

}  // namespace sassafras
