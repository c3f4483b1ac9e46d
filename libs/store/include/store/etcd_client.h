#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include "store/config_store.h"
#include "store/instance_directory.h"
#include "store/seat_leases.h"

namespace sassafras {

/** Key of the lists, key prefix of the probe seats and key prefix of the instance directory in the platform's store. */
constexpr std::string_view kListsKey = "/sassafras/lists";
constexpr std::string_view kSeatPrefix = "/sassafras/probe-seats/";
constexpr std::string_view kInstancePrefix = "/platform/instances/";

/**
 * Client of the platform's key-value store over the etcd v3 JSON gateway.
 * Tries the next address when one cannot be reached. Not thread-safe.
 */
class EtcdClient final : public ConfigStore, public SeatLeases, public InstanceDirectory {
 public:
  /**
   * @param addresses  IP:port of each gateway
   * @param holder     name of this process, written into the seats that it claims
   */
  EtcdClient(std::vector<std::string> addresses, std::string holder);

  boost::asio::awaitable<absl::StatusOr<StoredValue>> Read() override;
  boost::asio::awaitable<absl::StatusOr<StoredValue>> ReadRevision() override;
  boost::asio::awaitable<absl::StatusOr<bool>> CompareAndSwap(int64_t expected_revision, std::string value) override;
  boost::asio::awaitable<absl::Status> Watch(std::function<void(StoredValue)> on_change,
                                             StreamCanceller& canceller) override;
  boost::asio::awaitable<absl::StatusOr<bool>> Claim(uint32_t seat) override;
  boost::asio::awaitable<absl::Status> Release(uint32_t seat) override;
  std::chrono::seconds Ttl() const override;
  boost::asio::awaitable<absl::StatusOr<DirectoryListing>> List(int64_t since_revision) override;

 private:
  boost::asio::awaitable<absl::StatusOr<boost::json::value>> Call(std::string target, boost::json::value body);
  boost::asio::awaitable<absl::StatusOr<StoredValue>> ReadLists(boost::json::value range);
  boost::asio::awaitable<absl::StatusOr<bool>> Renew(uint32_t seat);
  boost::asio::awaitable<absl::StatusOr<bool>> Acquire(uint32_t seat);
  boost::asio::awaitable<absl::Status> Revoke(std::string lease);

  std::vector<std::string> m_addresses;
  std::string m_seat_holder;
  size_t m_address_index = 0;
  /** Lease id of each seat that this process holds. */
  std::map<uint32_t, std::string> m_leases_by_seat;
};

}  // namespace sassafras
