#include "upstream_pool.h"

#include <utility>

namespace sassafras {
namespace {

/** Idle connections are closed after this time. */
constexpr std::chrono::seconds kIdleConnectionTimeout{30};

/** Whether an idle connection is open and has received no unsolicited bytes. */
bool IsOpenAndQuiet(UpstreamConnection& connection) {
  if (connection.buffer.size() != 0)
    return false;
  char byte = 0;
  error_code error;
  connection.stream.socket().non_blocking(true, error);
  connection.stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

}  // namespace

std::unique_ptr<UpstreamConnection> UpstreamPool::Take(const std::string& address, Duration max_idle) {
  const auto found = m_idle.find(address);
  while (found != m_idle.end() && !found->second.empty()) {
    std::unique_ptr<UpstreamConnection> connection = std::move(found->second.back());
    found->second.pop_back();
    const bool recent = m_clock.Now() - connection->idle_since <= max_idle;
    if (recent && IsOpenAndQuiet(*connection))
      return connection;
  }
  return std::make_unique<UpstreamConnection>(m_executor);
}

void UpstreamPool::Return(const std::string& address, std::unique_ptr<UpstreamConnection> connection) {
  connection->idle_since = m_clock.Now();
  connection->stream.expires_never();
  m_idle[address].push_back(std::move(connection));
}

void UpstreamPool::CloseExpired() {
  const TimePoint oldest = m_clock.Now() - kIdleConnectionTimeout;
  absl::erase_if(m_idle, [oldest](auto& entry) {
    std::erase_if(entry.second, [oldest](const auto& connection) { return connection->idle_since < oldest; });
    return entry.second.empty();
  });
}

size_t UpstreamPool::IdleCount() const {
  size_t count = 0;
  for (const auto& [address, connections] : m_idle)
    count += connections.size();
  return count;
}

}  // namespace sassafras
