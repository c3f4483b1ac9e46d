#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <string>

#include "call_fixture.h"
#include "core/hedge_counters.h"
#include "entry/native_dialect.h"

namespace sassafras {
namespace {

constexpr std::chrono::seconds kDeadline{10};

/** Answers requests after kLatency of the clock until `hangs` is set: then the next request, at any endpoint, is never
 * answered. */
struct HangingScript {
  ScriptedEndpoint::Script Script() {
    return [this](asio::ip::tcp::socket& socket, const ScriptedEndpoint::Request&) -> asio::awaitable<bool> {
      clock.Advance(kLatency);
      if (!hangs)
        co_return co_await WriteBytes(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      hangs = false;
      std::array<char, 1> byte{};
      error_code error;
      co_await socket.async_read_some(asio::buffer(byte), AwaitWithError(error));
      hung_connection_closed = static_cast<bool>(error);
      co_return false;
    };
  }

  /** Long enough that the calls before the one that hangs are not late in real time, which the hedge timer follows. */
  static constexpr std::chrono::milliseconds kLatency{50};

  ManualClock& clock;
  bool hangs = false;
  bool hung_connection_closed = false;
};

// Guards against an endpoint that goes on working for nobody, and against the late answer of the loser that is read
// from a pooled connection as the answer to another call.
TEST_CASE("a call whose endpoint hangs is answered by its hedge, and the connection of the loser is closed") {
  const NativeDialect dialect;
  CallFixture fixture(dialect, CallFixture::MakeOptions(true));
  HangingScript script{fixture.GetClock()};
  fixture.AddEndpoint(script.Script());
  fixture.AddEndpoint(script.Script());
  // The timer of the hedge follows real time.
  fixture.SetClockToRealTime();
  fixture.Serve(Repeat::kSafe, kDeadline);
  for (int i = 0; i < 20; ++i)
    REQUIRE(fixture.Call("a").status == 200);
  const HedgeCounters& hedges = fixture.GetEngine().GetState().Hedges(PlanHandle(0));
  const uint64_t won_before = hedges.won;
  script.hangs = true;
  const TimePoint start = fixture.GetClock().Peek();
  CHECK(fixture.Call("b").body == "ok");
  fixture.RunUntil([&] { return script.hung_connection_closed || fixture.GetClock().Peek() - start > kDeadline / 2; });
  CHECK(script.hung_connection_closed);
  CHECK(hedges.won == won_before + 1);
  CHECK(fixture.Call("c").body == "ok");
  const Settings settings;
  Counters counters;
  const AdminPages pages(fixture.GetEngine(), settings, counters, nullptr, [] {});
  const std::string text = pages.Render("/sassafras/counters").body;
  for (const char* line :
       {"sassafras_hedges_total{plan=\"p\"} 1\n", "sassafras_hedge_outcomes_total{plan=\"p\",outcome=\"won\"} 1\n",
        "sassafras_hedge_outcomes_total{plan=\"p\",outcome=\"cancelled\"} 0\n",
        "sassafras_hedge_outcomes_total{plan=\"p\",outcome=\"refused_by_limit\"} 0\n",
        "sassafras_hedge_outcomes_total{plan=\"p\",outcome=\"held_back\"} 0\n",
        "sassafras_hedge_extra_work_percent{plan=\"p\"} 4.55\n"}) {
    CAPTURE(line);
    CHECK(text.find(line) != std::string::npos);
  }
}

}  // namespace
}  // namespace sassafras
