#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "call_fixture.h"
#include "echoing_dialect.h"
#include "prober.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/** Bytes after which a slow endpoint gives up, so that a test of a reader that waits for it ends. */
constexpr size_t kGiveUpBytes = 1'000;
constexpr milliseconds kBytePeriod{10};

/** Repeats the bytes of `text`, one in each kBytePeriod; `cut` is set once the connection was closed meanwhile. */
ScriptedEndpoint::Script PlaySlowly(const std::string& head, const std::string& text, bool& cut) {
  return [head, text, &cut](asio::ip::tcp::socket& socket,
                            const ScriptedEndpoint::Request& /*request*/) -> asio::awaitable<bool> {
    error_code ignored;
    asio::steady_timer timer(socket.get_executor());
    bool open = co_await WriteBytes(socket, head);
    for (size_t sent = 0; open && sent < kGiveUpBytes; ++sent) {
      open = co_await WriteBytes(socket, text.substr(sent % text.size(), 1));
      timer.expires_after(kBytePeriod);
      co_await timer.async_wait(AwaitWithError(ignored));
    }
    cut = !open;
    co_return false;
  };
}

// Guards against each byte of an answer renewing the time that the endpoint has for it.
TEST_CASE("an answer that arrives byte by byte is waited for until the deadline, and its connection is closed") {
  const EchoingDialect dialect;
  const std::string head = "HTTP/1.1 200 OK\r\nSassafras-Request-Id: own\r\n";
  const std::pair<std::string, std::string> answers[] = {
      {"HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n"},
      {head + "Content-Length: 100000\r\n\r\n", "x"},
      {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
      {head + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
  };
  for (const auto& [start, text] : answers) {
    CAPTURE(start);
    CallFixture fixture(dialect);
    bool cut = false;
    ScriptedEndpoint& endpoint = fixture.AddEndpoint(PlaySlowly(start, text, cut));
    fixture.Serve(Repeat::kNever, milliseconds(200));
    fixture.SetClockToRealTime();
    const ReceivedAnswer received = fixture.Call("own");
    fixture.RunUntilClosed(endpoint);
    CHECK(cut);
    CHECK(received.whole);
    CHECK(received.status == 504);
    CHECK(endpoint.RequestCount() == 1);
    CHECK(fixture.Pool().IdleCount() == 0);
  }
}

// The same for probes, which have a time limit of their own.
TEST_CASE("an answer to a probe that arrives byte by byte does not keep its connection open") {
  const EchoingDialect dialect;
  CallFixture fixture(dialect);
  bool cut = false;
  ScriptedEndpoint& endpoint = fixture.AddEndpoint(PlaySlowly("HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n", cut));
  fixture.Serve(Repeat::kNever, milliseconds(200));
  Prober prober(fixture.Context().get_executor(), fixture.GetEngine(), fixture.Pool(), dialect);
  prober.Send({EndpointHandle(0), TimePoint::max(), {}});
  fixture.RunUntil([&] { return endpoint.RequestCount() > 0; });
  fixture.RunUntilClosed(endpoint);
  CHECK(cut);
  CHECK(fixture.Pool().IdleCount() == 0);
}

}  // namespace
}  // namespace sassafras
