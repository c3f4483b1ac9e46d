#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

namespace sassafras {

class InstanceDirectory;

/** The entry instances as an operator's tool sees them. */
class Fleet {
 public:
  /** One instance's page, or why there is none. */
  struct Page {
    std::string address;
    bool ok = false;
    std::string error;
    boost::json::object body;
  };

  /** @param addresses  instances to ask; empty for those in the platform's list */
  Fleet(std::vector<std::string> addresses, InstanceDirectory& directory);

  /** Fetches a page from every instance that is not leaving. */
  boost::asio::awaitable<std::vector<Page>> FetchAll(std::string path);
  /** Highest generation that any reachable instance holds; 0 if none answers. */
  boost::asio::awaitable<uint64_t> HighestGeneration();

 private:
  boost::asio::awaitable<std::vector<std::string>> Addresses();

  std::vector<std::string> m_addresses;
  InstanceDirectory& m_directory;
};

}  // namespace sassafras
