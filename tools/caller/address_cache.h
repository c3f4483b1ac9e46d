#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace sassafras {

/** Addresses to send calls to, fetched from the load balancer and not used after their time to live. */
class AddressCache {
 public:
  struct ServingAddress {
    std::string address;
    std::string owner;
  };

  /** @param entry_addresses  where to fetch the first addresses; with `direct`, the only addresses */
  AddressCache(std::vector<std::string> entry_addresses, bool direct, uint64_t seed);

  /** Fetches addresses again and again, a little before each answer expires. */
  boost::asio::awaitable<void> RefreshPeriodically();
  /** Returns a random address, or nothing if no answer is valid now. */
  std::optional<ServingAddress> Pick();
  /** Removes an unreachable address until the next fetch; the last one stays. */
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
