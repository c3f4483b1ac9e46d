#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

namespace sassafras {

struct GossipMessage;

/** Sends and receives gossip datagrams over UDP. Lost datagrams are not resent: later rounds repeat the state. */
class GossipSocket {
 public:
  using OnMessage = std::function<void(GossipMessage)>;

  GossipSocket(boost::asio::io_context& context, OnMessage on_message);

  /** Binds to IP:port and starts to receive. */
  absl::Status Open(const std::string& address);
  void Close();
  /** Sends a message; drops it if it is too long or cannot be sent at once. */
  void Send(const std::string& address, const GossipMessage& message);

  uint64_t BytesSent() const { return m_bytes_sent; }
  uint64_t BytesReceived() const { return m_bytes_received; }
  /** Received datagrams that could not be decoded. */
  uint64_t MalformedCount() const { return m_malformed_count; }

 private:
  void Receive();

  boost::asio::ip::udp::socket m_socket;
  OnMessage m_on_message;
  boost::asio::ip::udp::endpoint m_sender;
  std::array<std::byte, 2'048> m_buffer{};
  uint64_t m_bytes_sent = 0;
  uint64_t m_bytes_received = 0;
  uint64_t m_malformed_count = 0;
};

}  // namespace sassafras
