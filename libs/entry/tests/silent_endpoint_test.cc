#include <doctest/doctest.h>

#include <chrono>

#include "call_fixture.h"
#include "entry/native_dialect.h"
#include "prober.h"

namespace sassafras {
namespace {

/** Reads requests and answers none, and keeps its connections open. */
asio::awaitable<bool> StaySilent(asio::ip::tcp::socket& /*socket*/, const ScriptedEndpoint::Request& /*request*/) {
  co_return true;
}

// Guards against using a connection again on which an endpoint never answers any more.
TEST_CASE("the connection of an attempt that timed out is closed and never used again") {
  const NativeDialect dialect;
  CallFixture fixture(dialect);
  const ScriptedEndpoint& endpoint = fixture.AddEndpoint(StaySilent);
  fixture.SetClockToRealTime();
  fixture.Serve(Repeat::kNever, std::chrono::milliseconds(100));
  for (size_t call = 1; call <= 2; ++call) {
    fixture.SetClockToRealTime();
    CHECK(fixture.Call("own").status == 504);
    CHECK(fixture.Pool().IdleCount() == 0);
    CHECK(endpoint.RequestCount() == call);
    CHECK(endpoint.ConnectionCount() == call);
  }
  fixture.RunUntilClosed(endpoint);
}

TEST_CASE("the connection of a probe that timed out is closed and never used again") {
  const NativeDialect dialect;
  CallFixture fixture(dialect);
  const ScriptedEndpoint& endpoint = fixture.AddEndpoint(StaySilent);
  fixture.Serve(Repeat::kNever, std::chrono::seconds(1));
  Prober prober(fixture.Context().get_executor(), fixture.GetEngine(), fixture.Pool(), dialect);
  for (size_t probe = 1; probe <= 2; ++probe) {
    prober.Send({EndpointHandle(0), TimePoint::max(), {}});
    fixture.RunUntil([&] { return endpoint.RequestCount() == probe; });
    fixture.RunUntilClosed(endpoint);
    CHECK(fixture.Pool().IdleCount() == 0);
    CHECK(endpoint.ConnectionCount() == probe);
  }
}

}  // namespace
}  // namespace sassafras
