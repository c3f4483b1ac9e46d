#include <doctest/doctest.h>

#include <chrono>
#include <deque>
#include <string>

#include <boost/asio/write.hpp>

#include "call_fixture.h"
#include "echoing_dialect.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/** Part of a stop in which the instance takes calls, as for a process that is killed 6 s after the request to stop. */
constexpr milliseconds kLingerLimit{2'700};
/** A moment of the stop at which the process is killed soon. */
constexpr milliseconds kLate{4'500};
constexpr std::chrono::seconds kDeadline{10};
const std::string kHead = "POST /x HTTP/1.1\r\nHost: h\r\nSassafras-Request-Id: own\r\nContent-Length: 4\r\n\r\n";

StateOptions Options() {
  StateOptions options = CallFixture::MakeOptions();
  options.linger_limit = kLingerLimit;
  return options;
}

asio::awaitable<bool> Answer(asio::ip::tcp::socket& socket, const ScriptedEndpoint::Request& /*request*/) {
  const bool written =
      co_await WriteBytes(socket, "HTTP/1.1 200 OK\r\nSassafras-Request-Id: own\r\nContent-Length: 2\r\n\r\nok");
  co_return written;
}

/** Handles all that is ready. */
void RunReady(CallFixture& fixture) {
  while (fixture.Context().poll() > 0) {
  }
}

/** Lets the time of the stop pass, in ticks as the instance makes them. */
void PassTime(CallFixture& fixture, milliseconds time) {
  constexpr milliseconds kTickPeriod{20};
  for (milliseconds passed{}; passed < time; passed += kTickPeriod) {
    fixture.GetClock().Advance(kTickPeriod);
    fixture.GetEngine().Post(Event::Tick{fixture.GetClock().Peek()});
    RunReady(fixture);
  }
}

/** What has arrived at the caller so far. */
std::string Received(asio::ip::tcp::socket& caller) {
  constexpr size_t kMost = 4'096;
  std::string text(kMost, '\0');
  error_code error;
  caller.non_blocking(true, error);
  text.resize(caller.read_some(asio::buffer(text), error));
  return text;
}

/**
 * Sends the first `early` bytes of a request, asks the instance to stop, lets `pause` pass and sends the rest.
 * @return what the caller then receives
 */
std::string SendAroundStop(CallFixture& fixture, size_t early, milliseconds pause) {
  const std::string request = kHead + "body";
  asio::ip::tcp::socket caller(fixture.Context());
  fixture.Connect(caller);
  asio::write(caller, asio::buffer(request.substr(0, early)));
  RunReady(fixture);
  fixture.GetEngine().Post(Event::StopRequested{fixture.GetClock().Now()});
  PassTime(fixture, pause);
  asio::write(caller, asio::buffer(request.substr(early)));
  constexpr int kRounds = 100;
  std::string received;
  for (int round = 0; round < kRounds && received.empty(); ++round) {
    PassTime(fixture, milliseconds(1));
    received = Received(caller);
  }
  return received;
}

// Guards against a request that is passed on although the process ends before it could be answered.
TEST_CASE("a request that is complete only late in a planned stop is rejected and does not run") {
  const EchoingDialect dialect;
  for (const size_t early : {size_t{10}, kHead.size(), kHead.size() + 2}) {
    CAPTURE(early);
    CallFixture fixture(dialect, Options());
    const ScriptedEndpoint& endpoint = fixture.AddEndpoint(Answer);
    fixture.Serve(Repeat::kNever, kDeadline);
    const std::string received = SendAroundStop(fixture, early, kLate);
    CHECK(received.starts_with("HTTP/1.1 503"));
    CHECK(received.find("Sassafras-Reason: stopping") != std::string::npos);
    CHECK(received.find("Sassafras-Outcome: not_run") != std::string::npos);
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(endpoint.RequestCount() == 0);
  }
}

// Guards against rejecting what can be answered in time.
TEST_CASE("a request that arrives before the listeners of a stopping instance close, or just then, is served") {
  const EchoingDialect dialect;
  for (const milliseconds pause : {milliseconds(100), kLingerLimit - milliseconds(100), kLingerLimit}) {
    CAPTURE(pause.count());
    CallFixture fixture(dialect, Options());
    fixture.AddEndpoint(Answer);
    fixture.Serve(Repeat::kNever, kDeadline);
    CHECK(SendAroundStop(fixture, kHead.size(), pause).starts_with("HTTP/1.1 200"));
  }
}

// Guards against a waiting call that is cut when the process ends, or passed on just before.
TEST_CASE("a call that still waits for an endpoint late in a planned stop is rejected and does not run") {
  const EchoingDialect dialect;
  CallFixture fixture(dialect, Options());
  const auto hang = [](asio::ip::tcp::socket& socket, const ScriptedEndpoint::Request&) -> asio::awaitable<bool> {
    error_code ignored;
    char byte = 0;
    co_await socket.async_read_some(asio::buffer(&byte, 1), AwaitWithError(ignored));
    co_return false;
  };
  const ScriptedEndpoint& endpoint = fixture.AddEndpoint(hang);
  fixture.Serve(Repeat::kNever, kDeadline);
  std::deque<asio::ip::tcp::socket> callers;
  constexpr size_t kMoreThanSlots = 20;
  for (size_t i = 0; i < kMoreThanSlots; ++i) {
    fixture.Connect(callers.emplace_back(fixture.Context()));
    asio::write(callers.back(), asio::buffer(kHead + "body"));
    RunReady(fixture);
  }
  const size_t running = endpoint.RequestCount();
  REQUIRE(running < kMoreThanSlots);
  fixture.GetEngine().Post(Event::StopRequested{fixture.GetClock().Now()});
  PassTime(fixture, kLate);
  size_t rejected = 0;
  for (asio::ip::tcp::socket& caller : callers)
    rejected += Received(caller).find("Sassafras-Reason: stopping") != std::string::npos ? 1 : 0;
  CHECK(rejected == kMoreThanSlots - running);
  CHECK(endpoint.RequestCount() == running);
}

}  // namespace
}  // namespace sassafras
