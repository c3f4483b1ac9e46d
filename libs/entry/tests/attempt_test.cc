#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "base/system_clock.h"
#include "call_exchange.h"
#include "core/plan_counters.h"
#include "core/state.h"
#include "core/state_options.h"
#include "engine.h"
#include "entry/native_dialect.h"
#include "lists/lists.h"
#include "null_control_sink.h"
#include "upstream_pool.h"

namespace sassafras {
namespace {

constexpr EndpointHandle kEndpoint(0);
constexpr std::chrono::milliseconds kHoldOff{10'000};

/** A dialect in which every answer with Retry-After holds off requests for kHoldOff. */
class HoldOffDialect final : public NativeDialect {
 public:
  LoadReport ReadLoad(const ResponseHead& response) const override {
    LoadReport report = NativeDialect::ReadLoad(response);
    if (response.find(http::field::retry_after) != response.end())
      report.hold_off = kHoldOff;
    return report;
  }
};

/** An endpoint that answers each connection's first request with `answer` and then neither sends nor closes. */
class FixedEndpoint {
 public:
  FixedEndpoint(asio::io_context& context, std::string answer)
      : m_acceptor(context, {asio::ip::address_v4::loopback(), 0}), m_socket(context), m_answer(std::move(answer)) {
    asio::co_spawn(context, Serve(), asio::detached);
  }
  std::string Address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
  size_t ReceivedBytes() const { return m_received; }

 private:
  asio::awaitable<void> Serve() {
    error_code error;
    m_socket = co_await m_acceptor.async_accept(asio::use_awaitable);
    std::string bytes(4'096, '\0');
    m_received += co_await m_socket.async_read_some(asio::buffer(bytes), AwaitWithError(error));
    if (m_received > 0)
      co_await asio::async_write(m_socket, asio::buffer(m_answer), AwaitWithError(error));
  }

  asio::ip::tcp::acceptor m_acceptor;
  asio::ip::tcp::socket m_socket;
  std::string m_answer;
  size_t m_received = 0;
};

Lists MakeLists(const std::string& endpoint_address) {
  Lists lists;
  Service service;
  service.name = "s";
  lists.services.push_back(service);
  Plan plan;
  plan.name = "p";
  plan.method = "*";
  plan.path_prefix = "/";
  plan.repeat = Repeat::kSafe;
  plan.deadline = std::chrono::milliseconds(400);
  plan.service = "s";
  plan.max_attempts = 1;
  lists.plans.push_back(plan);
  if (!endpoint_address.empty())
    lists.endpoints.push_back({"e", "s", endpoint_address, "a", 6, 100});
  return lists;
}

/** A call whose attempt at an endpoint is dispatched but has not run yet. */
struct Fixture {
  /** @param discovery  whether the endpoint is listed in the platform's store, in failure domain "a" */
  explicit Fixture(const std::string& answer, bool discovery = false)
      : engine(MakeOptions(discovery), clock), endpoint(context, answer) {
    engine.SetControlSink(control);
    ReceiveLists(1, discovery ? std::string() : endpoint.Address());
    if (discovery) {
      engine.Post(Event::EvacuationsReceived{clock.Now(), {1, {}}});
      EndpointChange change;
      change.row = {"e", "s", endpoint.Address(), "a", 6, 0};
      change.revision = 2;
      engine.Post(Event::EndpointsReceived{clock.Now(), 3, true, {change}});
    }
    auto request = std::make_unique<RequestParser>();
    error_code error;
    request->put(asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")), error);
    exchange = std::make_shared<CallExchange>(engine, pool, dialect, std::chrono::milliseconds(200),
                                              std::make_shared<CallerStream>(asio::ip::tcp::socket(context)),
                                              std::move(request));
    exchange->Submit(engine.GetState().FindPlan("h", "GET", "/x"), {}, std::chrono::seconds(1), 1, {});
    REQUIRE(engine.GetState().InFlight(kEndpoint) == 1);
  }

  /** Runs the attempt to its end, since it refers to the members. */
  ~Fixture() {
    while (exchange.use_count() > 1 && context.run_one() > 0) {
    }
  }

  static StateOptions MakeOptions(bool discovery) {
    StateOptions options;
    options.discovery = discovery;
    return options;
  }

  void ReceiveLists(uint64_t generation, const std::string& endpoint_address) {
    engine.Post(
        Event::ListsReceived{clock.Now(), generation, std::make_shared<const Lists>(MakeLists(endpoint_address))});
  }

  asio::io_context context;
  SystemClock clock;
  NullControlSink control;
  HoldOffDialect dialect;
  Engine engine;
  UpstreamPool pool{context.get_executor(), clock};
  FixedEndpoint endpoint;
  std::shared_ptr<CallExchange> exchange;
};

// Guards against sending further requests to a leaving endpoint while its long answer is being passed on.
TEST_CASE("that an endpoint leaves is known from the head of its answer, before the answer ends") {
  Fixture fixture("HTTP/1.1 200 OK\r\nUpstream-Draining: 1\r\nContent-Length: 100\r\n\r\nthe first part");
  const State& state = fixture.engine.GetState();
  while (!state.IsLeaving(kEndpoint) && fixture.context.run_one() > 0) {
  }
  CHECK(state.IsLeaving(kEndpoint));
  CHECK(state.InFlight(kEndpoint) == 1);
}

// Guards against sending a request to an endpoint that is no longer listed once the connection is made.
TEST_CASE("an attempt at an endpoint that is removed while the connection is made is withdrawn") {
  Fixture fixture("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  fixture.ReceiveLists(2, "");
  while (fixture.engine.GetState().InFlight(kEndpoint) == 1 && fixture.context.run_one() > 0) {
  }
  CHECK(fixture.endpoint.ReceivedBytes() == 0);
  CHECK(fixture.engine.GetState().CallsInProgress() == 0);
}

// Guards against sending a request to an endpoint that asked for none while the connection was made.
TEST_CASE("an attempt at an endpoint that holds off requests while the connection is made is withdrawn") {
  Fixture fixture("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  LoadReport report;
  report.hold_off = std::chrono::seconds(2);
  fixture.engine.Post(Event::EndpointReported{fixture.clock.Now(), kEndpoint, report});
  while (fixture.engine.GetState().InFlight(kEndpoint) == 1 && fixture.context.run_one() > 0) {
  }
  CHECK(fixture.endpoint.ReceivedBytes() == 0);
}

// Guards against sending a request to an evacuated failure domain because its attempt was under way.
TEST_CASE("an attempt at an endpoint whose failure domain is evacuated while the connection is made is withdrawn") {
  Fixture fixture("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true);
  fixture.engine.Post(Event::EvacuationsReceived{fixture.clock.Now(), {4, {"a"}}});
  while (fixture.engine.GetState().InFlight(kEndpoint) == 1 && fixture.context.run_one() > 0) {
  }
  CHECK(fixture.endpoint.ReceivedBytes() == 0);
  CHECK(fixture.engine.GetState().CallsInProgress() == 0);
}

// Guards against an evacuation that cuts off requests that run.
TEST_CASE("a request that runs when the failure domain of its endpoint is evacuated gets its answer") {
  Fixture fixture("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true);
  while (fixture.endpoint.ReceivedBytes() == 0 && fixture.context.run_one() > 0) {
  }
  fixture.engine.Post(Event::EvacuationsReceived{fixture.clock.Now(), {4, {"a"}}});
  while (fixture.engine.GetState().InFlight(kEndpoint) == 1 && fixture.context.run_one() > 0) {
  }
  const PlanCounters& totals = fixture.engine.GetState().Totals(PlanHandle(0));
  CHECK(totals.good + totals.slow == 1);
}

// Guards against counting the time for which an endpoint wants no requests from the end of a slow answer.
TEST_CASE("an endpoint holds off requests from the head of its answer on, however late the answer ends") {
  Fixture fixture("HTTP/1.1 503 -\r\nRetry-After: 10\r\nContent-Length: 100\r\n\r\nthe first part");
  const State& state = fixture.engine.GetState();
  while (!state.IsHeldOff(kEndpoint, fixture.clock.Now()) && fixture.context.run_one() > 0) {
  }
  const TimePoint latest_end = fixture.clock.Now() + kHoldOff;
  CHECK(state.InFlight(kEndpoint) == 1);
  // The rest of the body does not come, so the attempt ends at its deadline.
  while (state.InFlight(kEndpoint) == 1 && fixture.context.run_one() > 0) {
  }
  CHECK_FALSE(state.IsHeldOff(kEndpoint, latest_end));
}

}  // namespace
}  // namespace sassafras
