#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace sassafras {

/** Addresses to use, as the system answered; kept for as long as the answer says, and no longer. */
class AddressCache {
 public:
  struct ServingAddress {
    std::string address;
    std::string owner;
  };

  /** @param entries  where to ask first; with `direct`, the only addresses, never asked */
  AddressCache(std::vector<std::string> entry_addresses, bool direct, uint64_t seed);

  /** Asks for addresses again and again, a little before each answer runs out. */
  boost::asio::awaitable<void> RefreshPeriodically();
  /** Returns an address to use, or nothing if no answer is valid now. */
  std::optional<ServingAddress> PickRandom();
  /** Puts an address aside that could not be reached. */
  void Remove(const std::string& address);
  bool HasAddresses() const { return !m_addresses.empty(); }

 private:
  boost::asio::awaitable<bool> FetchFrom(std::string address);

  std::vector<std::string> m_entry_addresses;
  bool m_direct;
  std::mt19937_64 m_random_engine;
  std::vector<ServingAddress> m_addresses;
  std::chrono::milliseconds m_ttl{1'000};
  std::chrono::steady_clock::time_point m_expires_at{};
};

}  // namespace sassafras
