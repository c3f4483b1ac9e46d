#include <doctest/doctest.h>

#include <chrono>
#include <deque>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "base/error.h"
#include "base/system_clock.h"
#include "entry/entry_instance.h"
#include "http_types.h"
#include "settings/settings.h"

namespace sassafras {
namespace {

/** Addresses on which nothing listens, all different. */
std::vector<std::string> FreeAddresses(asio::io_context& context, size_t count) {
  std::deque<asio::ip::tcp::acceptor> acceptors;
  std::vector<std::string> addresses;
  for (size_t i = 0; i < count; ++i) {
    acceptors.emplace_back(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    addresses.push_back("127.0.0.1:" + std::to_string(acceptors.back().local_endpoint().port()));
  }
  return addresses;
}

Settings MakeSettings(asio::io_context& context) {
  Settings settings;
  settings.instance = "i0";
  settings.failure_domain = "a";
  const std::vector<std::string> addresses = FreeAddresses(context, 3);
  settings.listen = addresses[0];
  settings.peer_listen = addresses[1];
  settings.platform = {addresses[2]};
  settings.address_ttl = std::chrono::seconds(1);
  settings.connect_timeout = std::chrono::milliseconds(100);
  settings.stop_limit = std::chrono::seconds(60);
  settings.gossip_period = std::chrono::milliseconds(250);
  settings.queue_limit = 100;
  settings.caller_connections = 1'000;
  settings.fleet_limit = 24;
  settings.record_limit = 100;
  return settings;
}

/** Reads what is left on a connection until its end. */
std::string ReadAll(asio::ip::tcp::socket& caller) {
  std::string received;
  error_code error;
  while (!error) {
    char bytes[1'024];
    const size_t size = caller.read_some(asio::buffer(bytes), error);
    received.append(bytes, size);
  }
  return received;
}

/**
 * Stops an instance that has accepted none of `count` connections, on each of which a whole request has arrived.
 * @return what each caller received
 */
std::deque<std::string> StopBeforeAccepting(size_t count) {
  asio::io_context caller_context;
  std::deque<asio::ip::tcp::socket> callers;
  {
    asio::io_context context;
    const SystemClock clock;
    const Settings settings = MakeSettings(context);
    EntryInstance instance(context, settings, clock);
    const absl::Status started = instance.Start();
    CAPTURE(MessageOf(started));
    REQUIRE(started.ok());
    const size_t colon = settings.listen.find(':');
    const auto port = static_cast<uint16_t>(std::stoi(settings.listen.substr(colon + 1)));
    const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    for (size_t i = 0; i < count; ++i) {
      callers.emplace_back(caller_context).connect({asio::ip::address_v4::loopback(), port});
      asio::write(callers.back(), asio::buffer(request));
    }
    // It never served, so it closes its listeners at once.
    instance.RequestStop();
    context.run();
    CHECK(instance.AbortedRequestCount() == 0);
  }
  std::deque<std::string> received;
  for (asio::ip::tcp::socket& caller : callers)
    received.push_back(ReadAll(caller));
  return received;
}

// Guards against requests that are reset with the accept queue when a stopping instance closes its listeners.
TEST_CASE("requests on connections that wait to be accepted at a planned stop are answered") {
  for (const std::string& received : StopBeforeAccepting(60)) {
    CHECK(received.starts_with("HTTP/1.1 "));
    CHECK(received.find("not_run") != std::string::npos);
  }
}

// Guards against callers that give up, since they do not repeat a request after 404, and against a connection that is
// accepted in the instant of the stop, when no session exists, and closed without an answer.
TEST_CASE("an instance that is stopped before it had plans does not tell callers that their plan is missing") {
  const std::string received = StopBeforeAccepting(1).front();
  CAPTURE(received);
  CHECK(received.starts_with("HTTP/1.1 503"));
}

}  // namespace
}  // namespace sassafras
