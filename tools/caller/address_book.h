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
class AddressBook {
 public:
  struct Entry {
    std::string address;
    std::string owner;
  };

  /** @param entries  where to ask first; with `direct`, the only addresses, never asked */
  AddressBook(std::vector<std::string> entries, bool direct, uint64_t seed);

  /** Asks for addresses again and again, a little before each answer runs out. */
  boost::asio::awaitable<void> Run();
  /** Returns an address to use, or nothing if no answer is valid now. */
  std::optional<Entry> Pick();
  /** Puts an address aside that could not be reached. */
  void Avoid(const std::string& address);
  bool Ready() const { return !m_current.empty(); }

 private:
  boost::asio::awaitable<bool> Ask(std::string address);

  std::vector<std::string> m_entries;
  bool m_direct;
  std::mt19937_64 m_random;
  std::vector<Entry> m_current;
  std::chrono::milliseconds m_ttl{1'000};
  std::chrono::steady_clock::time_point m_valid_until{};
};

}  // namespace sassafras
