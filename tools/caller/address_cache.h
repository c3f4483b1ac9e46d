#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace sassafras {

/** Addresses to send calls to, fetched from the load balancer and not used after the time to live it returns. */
class AddressCache {
 public:
  struct ServingAddress {
    std::string address;
    std::string owner;
  };

  /**
   * @param entry_addresses  IP:port of the instances to fetch the first addresses from
   * @param direct           send calls to `entry_addresses` and fetch no other addresses
   */
  AddressCache(std::vector<std::string> entry_addresses, bool direct, uint64_t seed);

  /** Fetches addresses again and again, each time after 4/5 of the time to live of the last answer. */
  boost::asio::awaitable<void> RefreshPeriodically();
  /** Returns a random address, or nothing if no answer is valid now. */
  std::optional<ServingAddress> Pick();
  /** Removes an unreachable address until the next fetch, unless it is the last one or `direct` is set. */
  void Remove(const std::string& address);
  bool HasAddresses() const { return !m_addresses.empty(); }

 private:
  boost::asio::awaitable<bool> FetchFrom(std::string address);

  std::vector<std::string> m_entry_addresses;
  bool m_direct;
  std::mt19937_64 m_random;
  std::vector<ServingAddress> m_addresses;
  std::chrono::milliseconds m_ttl{1'000};
  std::chrono::steady_clock::time_point m_valid_until{};
};

}  // namespace sassafras
