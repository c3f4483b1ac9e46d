#pragma once

#include <doctest/doctest.h>
#include <doctest/trompeloeil.hpp>

#include "store/config_store.h"
#include "store/instance_directory.h"
#include "store/seat_leases.h"

namespace sassafras {

/** Mock of the three interfaces of the platform. */
class MockPlatform : public ConfigStore, public InstanceDirectory, public SeatLeases {
 public:
  template <typename T>
  using Awaitable = boost::asio::awaitable<absl::StatusOr<T>>;

  MAKE_MOCK0(Read, Awaitable<StoredValue>(), override);
  MAKE_MOCK0(ReadRevision, Awaitable<StoredValue>(), override);
  MAKE_MOCK2(CompareAndSwap, Awaitable<bool>(int64_t, std::string), override);
  MAKE_MOCK2(Watch, boost::asio::awaitable<absl::Status>(std::function<void(StoredValue)>, StreamCanceller&), override);
  MAKE_MOCK1(List, Awaitable<DirectoryListing>(int64_t), override);
  MAKE_MOCK1(Claim, Awaitable<bool>(uint32_t), override);
  MAKE_MOCK1(Release, boost::asio::awaitable<absl::Status>(uint32_t), override);
  std::chrono::seconds Ttl() const override { return std::chrono::seconds(6); }
};

}  // namespace sassafras
