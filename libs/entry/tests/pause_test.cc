#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "base/parse_number.h"
#include "call_fixture.h"
#include "echoing_dialect.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLimit{900};

/** Endpoint that counts the requests that reach beyond the time by which their call must end. */
struct StrictEndpoint {
  /** Answers all requests, or all but the first. */
  ScriptedEndpoint::Script Script(const ManualClock& clock, bool refuses_first) {
    const TimePoint end = clock.Peek() + kLimit;
    return [this, &clock, refuses_first, end](asio::ip::tcp::socket& socket,
                                              const ScriptedEndpoint::Request& request) -> asio::awaitable<bool> {
      const auto text = request["Sassafras-Deadline-Ms"];
      uint32_t time_left_ms = 0;
      const bool stated = ParseNumber(std::string_view(text.data(), text.size()), time_left_ms);
      if (!stated || clock.Peek() + milliseconds(time_left_ms) > end)
        ++overdue;
      const std::string refusal = refuses_first && received++ == 0 ? "Upstream-Refused: full\r\n" : "";
      const bool written = co_await WriteBytes(
          socket, "HTTP/1.1 200 OK\r\nSassafras-Request-Id: own\r\n" + refusal + "Content-Length: 2\r\n\r\nok");
      co_return written;
    };
  }

  size_t received = 0;
  size_t overdue = 0;
};

/** Counts the steps of a call at which a pause of the process makes an endpoint receive an overdue request. */
size_t CountOverdue(milliseconds pause, bool first_refuses) {
  const EchoingDialect dialect;
  size_t overdue = 0;
  bool pause_came = true;
  // The first reading of the clock is the arrival of the call.
  for (size_t reading = 2; pause_came; ++reading) {
    CAPTURE(reading);
    CallFixture fixture(dialect);
    StrictEndpoint strict;
    const ScriptedEndpoint& one = fixture.AddEndpoint(strict.Script(fixture.GetClock(), first_refuses));
    const ScriptedEndpoint& two = fixture.AddEndpoint(strict.Script(fixture.GetClock(), first_refuses));
    fixture.Serve(Repeat::kNever, kLimit);
    fixture.GetClock().PauseBefore(reading, pause);
    const ReceivedAnswer received = fixture.Call("own");
    CHECK(received.whole);
    CHECK(strict.overdue <= 1);
    CHECK(one.RequestCount() <= 1);
    CHECK(two.RequestCount() <= 1);
    overdue += strict.overdue;
    pause_came = !fixture.GetClock().IsPausePending();
  }
  return overdue;
}

// Guards against a request that is sent, or sent again, with time that ran out while the process was paused.
TEST_CASE("a pause before any step of a call lets no endpoint run it after its time") {
  // A pause while the request is put together or is on its way cannot be seen in time.
  constexpr size_t kStepsOfSending = 2;
  for (const milliseconds pause : {milliseconds(500), milliseconds(1'000), milliseconds(5'000), milliseconds(20'000)}) {
    CAPTURE(pause.count());
    CHECK(CountOverdue(pause, false) <= kStepsOfSending);
    constexpr size_t kAttempts = 2;
    CHECK(CountOverdue(pause, true) <= kAttempts * kStepsOfSending);
  }
}

}  // namespace
}  // namespace sassafras
