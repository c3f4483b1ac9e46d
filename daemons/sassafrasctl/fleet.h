#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

namespace sassafras {

class InstanceDirectory;

/** Queries the status pages of the entry instances. */
class Fleet {
 public:
  /** Page of one instance, or the error from fetching it. */
  struct Page {
    std::string address;
    bool ok = false;
    std::string error;
    boost::json::object body;
  };

  /** @param addresses  instances to query; empty for those in `directory` */
  Fleet(std::vector<std::string> addresses, InstanceDirectory& directory);

  /** Fetches a page from each given instance, or from each one in the directory that is not leaving. */
  boost::asio::awaitable<std::vector<Page>> FetchFromAll(std::string path);
  /** Highest generation in force on any instance that answers; 0 if none does. */
  boost::asio::awaitable<uint64_t> HighestGeneration();

 private:
  boost::asio::awaitable<std::vector<std::string>> Addresses();

  std::vector<std::string> m_addresses;
  InstanceDirectory& m_directory;
};

}  // namespace sassafras
