#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "call_fixture.h"
#include "echoing_dialect.h"
#include "entry/native_dialect.h"
#include "net/http_client.h"
#include "prober.h"

namespace sassafras {
namespace {

constexpr std::chrono::seconds kDeadline{10};

/** An answer in chunks with one field behind its body. */
std::string AnswerWithTrailer(const std::string& field) {
  return "HTTP/1.1 200 OK\r\nSassafras-Request-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" +
         field + "\r\n\r\n";
}

ScriptedEndpoint::Script Play(const std::string& bytes) {
  return
      [&bytes](asio::ip::tcp::socket& socket, const ScriptedEndpoint::Request&) { return WriteBytes(socket, bytes); };
}

// Guards against a field behind the body that changes what the head of the answer says.
TEST_CASE("the fields of a trailer do not become fields of the answer's head") {
  const EchoingDialect dialect;
  for (const std::string name : {"Content-Encoding", "X-Trailer", "Location", "Sassafras-Request-Id"}) {
    CAPTURE(name);
    const std::string answer = AnswerWithTrailer(name + ": trailer");
    CallFixture fixture(dialect);
    fixture.AddEndpoint(Play(answer));
    fixture.Serve(Repeat::kNever, kDeadline);
    const ReceivedAnswer received = fixture.Call("own");
    CHECK(received.status == 200);
    CHECK(received.body == "body");
    CHECK(received.headers["Sassafras-Request-Id"] == "own");
    const size_t in_head = name == "Sassafras-Request-Id" ? 1 : 0;
    CHECK(received.headers.count(name) == in_head);
  }
}

// Guards against an endpoint that counts as leaving because of a field behind the body of its answer to a probe.
TEST_CASE("the fields of a trailer do not become part of the load that a probe's answer reports") {
  const std::string answer = AnswerWithTrailer("Upstream-Draining: 1");
  const NativeDialect dialect;
  CallFixture fixture(dialect);
  fixture.AddEndpoint(Play(answer));
  fixture.Serve(Repeat::kNever, kDeadline);
  Prober prober(fixture.Context().get_executor(), fixture.GetEngine(), fixture.Pool(), dialect);
  prober.Send({EndpointHandle(0), TimePoint::max(), {}});
  fixture.RunUntil([&] { return fixture.Pool().IdleCount() > 0; });
  while (fixture.Context().poll() > 0) {
  }
  CHECK_FALSE(fixture.GetEngine().GetState().IsLeaving(EndpointHandle(0)));
}

// Guards against the number of restores of the store, which it sends in the head, being taken from a trailer.
TEST_CASE("the fields of a trailer do not become headers of a reply of the store") {
  const std::string answer = AnswerWithTrailer("X-Trailer: t");
  asio::io_context context;
  const ScriptedEndpoint endpoint(context, Play(answer));
  absl::StatusOr<HttpReply> reply;
  const auto run = [&]() -> asio::awaitable<void> {
    reply = co_await SendHttp(endpoint.Address(), "GET", "/x", "", std::chrono::seconds(5));
    context.stop();
  };
  asio::co_spawn(context, run(), asio::detached);
  context.run();
  REQUIRE(reply.ok());
  CHECK(reply->body == "body");
  CHECK(reply->headers.count("Sassafras-Request-Id") == 1);
  CHECK(reply->headers.count("X-Trailer") == 0);
}

}  // namespace
}  // namespace sassafras
