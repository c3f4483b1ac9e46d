#include "address_cache.h"

#include <algorithm>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "net/http_client.h"

namespace sassafras {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

AddressCache::AddressCache(std::vector<std::string> entry_addresses, bool direct, uint64_t seed)
    : m_entry_addresses(std::move(entry_addresses)), m_direct(direct), m_random(seed) {
  if (!m_direct)
    return;
  for (const std::string& entry_address : m_entry_addresses)
    m_addresses.push_back({entry_address, {}});
}

asio::awaitable<bool> AddressCache::FetchFrom(std::string address) {
  constexpr milliseconds kRequestTimeout{500};
  const auto requested_at = steady_clock::now();
  const auto reply = co_await SendHttp(std::move(address), "GET", "/sassafras/addresses", {}, kRequestTimeout);
  if (!reply.ok() || reply->status != 200)
    co_return false;
  std::vector<ServingAddress> fetched;
  try {
    const json::object answer = json::parse(reply->body).as_object();
    m_ttl = milliseconds(answer.at("ttl_ms").to_number<int64_t>());
    for (const json::value& item : answer.at("addresses").as_array()) {
      const json::object& fields = item.as_object();
      fetched.push_back({std::string(fields.at("address").as_string()), std::string(fields.at("owner").as_string())});
    }
  } catch (const std::exception&) {
    co_return false;
  }
  m_addresses = std::move(fetched);
  m_valid_until = requested_at + m_ttl;
  co_return true;
}

asio::awaitable<void> AddressCache::RefreshPeriodically() {
  constexpr milliseconds kRetryDelay{50};
  while (!m_direct) {
    std::vector<std::string> candidates;
    for (const ServingAddress& serving_address : m_addresses)
      candidates.push_back(serving_address.address);
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    candidates.insert(candidates.end(), m_entry_addresses.begin(), m_entry_addresses.end());
    bool refreshed = false;
    for (size_t i = 0; i < candidates.size() && !refreshed; ++i)
      refreshed = co_await FetchFrom(candidates[i]);
    asio::steady_timer timer(co_await asio::this_coro::executor, refreshed ? m_ttl * 4 / 5 : kRetryDelay);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

std::optional<AddressCache::ServingAddress> AddressCache::Pick() {
  if (m_addresses.empty() || (!m_direct && steady_clock::now() >= m_valid_until))
    return std::nullopt;
  return m_addresses[m_random() % m_addresses.size()];
}

void AddressCache::Remove(const std::string& address) {
  if (m_direct || m_addresses.size() < 2)
    return;
  std::erase_if(m_addresses, [&](const ServingAddress& serving_address) { return serving_address.address == address; });
}

}  // namespace sassafras
