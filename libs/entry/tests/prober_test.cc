#include <doctest/doctest.h>

#include <memory>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "core/state_options.h"
#include "engine.h"
#include "entry/native_dialect.h"
#include "http_types.h"
#include "lists/lists.h"
#include "manual_clock.h"
#include "null_control_sink.h"
#include "prober.h"
#include "upstream_connection.h"
#include "upstream_pool.h"

namespace sassafras {
namespace {

/** An endpoint that sends `head` and then bytes without end, until the prober closes the connection. */
class EndlessEndpoint {
 public:
  EndlessEndpoint(asio::io_context& context, std::string head)
      : m_acceptor(context, {asio::ip::address_v4::loopback(), 0}), m_head(std::move(head)) {
    asio::co_spawn(context, Serve(), asio::detached);
  }
  std::string Address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
  size_t SentBytes() const { return m_sent; }

 private:
  asio::awaitable<void> Serve() {
    error_code error;
    asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
    socket.set_option(asio::socket_base::send_buffer_size(16 << 10), error);
    std::string bytes = m_head;
    while (!error) {
      m_sent += co_await asio::async_write(socket, asio::buffer(bytes), AwaitWithError(error));
      bytes.assign(4'096, 'x');
    }
  }

  asio::ip::tcp::acceptor m_acceptor;
  std::string m_head;
  size_t m_sent = 0;
};

Lists ListsWithEndpoint(const std::string& address) {
  Lists lists;
  Service service;
  service.name = "s";
  service.probe_path = "/probe";
  lists.services.push_back(service);
  lists.endpoints.push_back({"e", "s", address, "a", 6, 100});
  return lists;
}

TEST_CASE("an endpoint that answers a probe with bytes without end costs bounded memory and counts as not answering") {
  const std::string heads[] = {"HTTP/1.1 200 OK\r\nX-Filler: ", "HTTP/1.1 200 OK\r\n\r\n",
                               "HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n", "no answer"};
  for (const std::string& head : heads) {
    CAPTURE(head);
    asio::io_context context;
    ManualClock clock;
    NullControlSink control;
    Engine engine(StateOptions(), clock);
    engine.SetControlSink(control);
    EndlessEndpoint endpoint(context, head);
    engine.Post(
        Event::ListsReceived{clock.Now(), 1, std::make_shared<const Lists>(ListsWithEndpoint(endpoint.Address()))});
    UpstreamPool pool(context.get_executor(), clock);
    const NativeDialect dialect;
    Prober prober(context.get_executor(), engine, pool, dialect);
    prober.Send({EndpointHandle(0), TimePoint::max(), {}});
    context.run();
    CHECK(prober.SentCount() == 1);
    CHECK(pool.IdleCount() == 0);
    // What the kernel buffers of the two sockets hold is sent but never read.
    CHECK(endpoint.SentBytes() < size_t{8} << 20u);
  }
}

// Guards against sending a probe to an endpoint that asked for no requests after the probe was scheduled.
TEST_CASE("a probe to an endpoint that holds off requests is not sent") {
  asio::io_context context;
  ManualClock clock;
  NullControlSink control;
  Engine engine(StateOptions(), clock);
  engine.SetControlSink(control);
  EndlessEndpoint endpoint(context, "no answer");
  engine.Post(
      Event::ListsReceived{clock.Now(), 1, std::make_shared<const Lists>(ListsWithEndpoint(endpoint.Address()))});
  UpstreamPool pool(context.get_executor(), clock);
  const NativeDialect dialect;
  Prober prober(context.get_executor(), engine, pool, dialect);
  prober.Send({EndpointHandle(0), TimePoint::max(), {}});
  LoadReport report;
  report.hold_off = std::chrono::seconds(2);
  engine.Post(Event::EndpointReported{clock.Now(), EndpointHandle(0), report});
  context.run();
  CHECK(prober.SentCount() == 0);
  CHECK(prober.WithdrawnCount() == 1);
}

// Guards against sending a probe to an evacuated failure domain after the probe was scheduled.
TEST_CASE("a probe to an endpoint of an evacuated failure domain is not sent") {
  asio::io_context context;
  ManualClock clock;
  NullControlSink control;
  StateOptions options;
  options.discovery = true;
  Engine engine(options, clock);
  engine.SetControlSink(control);
  EndlessEndpoint endpoint(context, "no answer");
  Lists lists = ListsWithEndpoint(endpoint.Address());
  lists.endpoints.clear();
  engine.Post(Event::ListsReceived{clock.Now(), 1, std::make_shared<const Lists>(std::move(lists))});
  EndpointChange change;
  change.row = {"e", "s", endpoint.Address(), "a", 6, 0};
  change.revision = 2;
  engine.Post(Event::EndpointsReceived{clock.Now(), 3, true, {change}});
  UpstreamPool pool(context.get_executor(), clock);
  const NativeDialect dialect;
  Prober prober(context.get_executor(), engine, pool, dialect);
  prober.Send({EndpointHandle(0), TimePoint::max(), {}});
  engine.Post(Event::EvacuationsReceived{clock.Now(), {4, {"a"}}});
  context.run();
  CHECK(prober.SentCount() == 0);
  CHECK(prober.WithdrawnCount() == 1);
}

}  // namespace
}  // namespace sassafras
