#include "fleet.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/json.hpp>

#include "base/error.h"
#include "net/http_client.h"
#include "store/instance_directory.h"

namespace sassafras {

namespace asio = boost::asio;
namespace json = boost::json;

Fleet::Fleet(std::vector<std::string> addresses, InstanceDirectory& directory)
    : m_addresses(std::move(addresses)), m_directory(directory) {}

asio::awaitable<std::vector<std::string>> Fleet::Addresses() {
  if (!m_addresses.empty())
    co_return m_addresses;
  std::vector<std::string> addresses;
  const auto listing = co_await m_directory.List(0);
  if (!listing.ok())
    co_return addresses;
  for (const DirectoryEntry& entry : listing->entries) {
    if (entry.kind == DirectoryEntry::Kind::kEntry && !entry.leaving)
      addresses.push_back(entry.address);
  }
  co_return addresses;
}

asio::awaitable<std::vector<Fleet::Page>> Fleet::FetchFromAll(std::string path) {
  constexpr std::chrono::milliseconds kFetchTimeout{1'000};
  std::vector<Page> pages;
  for (const std::string& address : co_await Addresses()) {
    Page page;
    page.address = address;
    const auto reply = co_await SendHttp(address, "GET", path, {}, kFetchTimeout);
    boost::system::error_code error;
    json::value body;
    if (reply.ok())
      body = json::parse(reply->body, error);
    if (!reply.ok())
      page.error = MessageOf(reply.status());
    else if (error || !body.is_object())
      page.error = "the answer is not a JSON object";
    else
      page.body = body.as_object();
    page.ok = page.error.empty();
    pages.push_back(std::move(page));
  }
  co_return pages;
}

asio::awaitable<uint64_t> Fleet::HighestGeneration() {
  uint64_t highest = 0;
  for (const Page& page : co_await FetchFromAll("/sassafras/status")) {
    if (page.ok)
      highest = std::max(highest, page.body.at("generation").to_number<uint64_t>());
  }
  co_return highest;
}

}  // namespace sassafras
