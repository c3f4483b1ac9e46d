#include "address_book.h"

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

AddressBook::AddressBook(std::vector<std::string> entries, bool direct, uint64_t seed)
    : m_entries(std::move(entries)), m_direct(direct), m_random(seed) {
  if (!m_direct)
    return;
  for (const std::string& entry : m_entries)
    m_current.push_back({entry, {}});
}

asio::awaitable<bool> AddressBook::Ask(std::string address) {
  constexpr milliseconds kLimit{500};
  const auto asked_at = steady_clock::now();
  const auto reply = co_await SendHttp(std::move(address), "GET", "/sassafras/addresses", {}, kLimit);
  if (!reply.ok() || reply->status != 200)
    co_return false;
  std::vector<Entry> entries;
  try {
    const json::object answer = json::parse(reply->body).as_object();
    m_ttl = milliseconds(answer.at("ttl_ms").to_number<int64_t>());
    for (const json::value& item : answer.at("addresses").as_array()) {
      const json::object& entry = item.as_object();
      entries.push_back({std::string(entry.at("address").as_string()), std::string(entry.at("owner").as_string())});
    }
  } catch (const std::exception&) {
    co_return false;
  }
  m_current = std::move(entries);
  m_valid_until = asked_at + m_ttl;
  co_return true;
}

asio::awaitable<void> AddressBook::Run() {
  constexpr milliseconds kRetry{50};
  while (!m_direct) {
    std::vector<std::string> candidates;
    for (const Entry& entry : m_current)
      candidates.push_back(entry.address);
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    candidates.insert(candidates.end(), m_entries.begin(), m_entries.end());
    bool answered = false;
    for (size_t i = 0; i < candidates.size() && !answered; ++i)
      answered = co_await Ask(candidates[i]);
    asio::steady_timer timer(co_await asio::this_coro::executor, answered ? m_ttl * 4 / 5 : kRetry);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

std::optional<AddressBook::Entry> AddressBook::Pick() {
  if (m_current.empty() || (!m_direct && steady_clock::now() >= m_valid_until))
    return std::nullopt;
  return m_current[m_random() % m_current.size()];
}

void AddressBook::Avoid(const std::string& address) {
  if (m_direct || m_current.size() < 2)
    return;
  std::erase_if(m_current, [&](const Entry& entry) { return entry.address == address; });
}

}  // namespace sassafras
