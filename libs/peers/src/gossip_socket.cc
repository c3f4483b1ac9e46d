#include "peers/gossip_socket.h"

#include <span>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <fmt/format.h>

#include "base/error.h"
#include "base/log.h"
#include "core/gossip_message.h"
#include "net/http_client.h"
#include "peers/gossip_codec.h"

namespace sassafras {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

GossipSocket::GossipSocket(asio::io_context& context, OnMessage on_message)
    : m_socket(context), m_on_message(std::move(on_message)) {}

absl::Status GossipSocket::Open(const std::string& address) {
  const auto parsed = ParseAddress(address);
  if (!parsed.ok())
    return parsed.status();
  const udp::endpoint endpoint(parsed->address(), parsed->port());
  error_code error;
  m_socket.open(endpoint.protocol(), error);
  if (!error)
    m_socket.bind(endpoint, error);
  if (!error)
    m_socket.non_blocking(true, error);
  if (error) {
    return MakeError(ErrorKind::kUnreachable, fmt::format("peer_listen {}: {}", address, error.message()),
                     "use an address of this instance whose UDP port is free");
  }
  Receive();
  return absl::OkStatus();
}

void GossipSocket::Close() {
  error_code ignored;
  m_socket.close(ignored);
}

void GossipSocket::Send(const std::string& address, const GossipMessage& message) {
  const auto parsed = ParseAddress(address);
  const std::string bytes = EncodeGossip(message);
  if (!parsed.ok() || bytes.size() > kMaxGossipBytes) {
    Log(LogLevel::kError, "gossip_not_sent", {{"peer", address}, {"bytes", std::to_string(bytes.size())}});
    return;
  }
  error_code error;
  m_socket.send_to(asio::buffer(bytes), udp::endpoint(parsed->address(), parsed->port()), 0, error);
  if (!error)
    m_bytes_sent += bytes.size();
}

void GossipSocket::Receive() {
  m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [this](error_code error, size_t size) {
    if (error == asio::error::operation_aborted || !m_socket.is_open())
      return;
    if (!error) {
      m_bytes_received += size;
      auto message = DecodeGossip(std::span(m_buffer).first(size));
      if (message.ok())
        m_on_message(*std::move(message));
      else
        ++m_malformed_count;
    }
    Receive();
  });
}

}  // namespace sassafras
