#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "call_fixture.h"
#include "entry/native_dialect.h"

namespace sassafras {
namespace {

/** Bytes after which an endless caller gives up, so that a test of an unbounded reader ends. */
constexpr size_t kGiveUpBytes = 64u << 20u;
/** More than what the kernel buffers of two sockets and the buffers of a session hold. */
constexpr size_t kBoundedBytes = 16u << 20u;

// Guards against a caller whose request head, chunk head or trailers never end taking memory without bound.
TEST_CASE("a request that has no end costs bounded memory, and its connection is closed") {
  const NativeDialect dialect;
  const std::string chunked = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string heads[] = {"no request", "GET /", "GET /x HTTP/1.1\r\nX-Filler: ", chunked + "5;",
                               chunked + "0\r\nX-Trailer: "};
  for (const std::string& head : heads) {
    CAPTURE(head);
    CallFixture fixture(dialect);
    const auto answer = [](asio::ip::tcp::socket& socket, const ScriptedEndpoint::Request&) {
      return WriteBytes(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    };
    const ScriptedEndpoint& endpoint = fixture.AddEndpoint(answer);
    fixture.Serve(Repeat::kNever, std::chrono::seconds(10));
    CHECK(fixture.SendWithoutEnd(head, kGiveUpBytes) < kBoundedBytes);
    CHECK(endpoint.RequestCount() == 0);
    CHECK(fixture.GetEngine().GetState().CallsInProgress() == 0);
  }
}

}  // namespace
}  // namespace sassafras
