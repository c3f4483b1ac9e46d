#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "call_fixture.h"
#include "echoing_dialect.h"

namespace sassafras {
namespace {

constexpr size_t kBodyBytes = 1u << 20u;

std::string AnswerTo(const ScriptedEndpoint::Request& request) {
  const auto header = request["Sassafras-Request-Id"];
  const std::string id(header.data(), header.size());
  return "HTTP/1.1 200 OK\r\nSassafras-Request-Id: " + id + "\r\nContent-Length: " + std::to_string(id.size()) +
         "\r\n\r\n" + id;
}

/** A request that is too large to be buffered, so that it is sent to the endpoint while it arrives. */
std::string Upload(const std::string& id) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nSassafras-Request-Id: " + id +
         "\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes, 'x');
}

/** Answers as soon as the head of a request is read, then reads its body or closes the connection at once. */
ScriptedEndpoint::Script AnswerEarly(bool reads_body) {
  return
      [reads_body](asio::ip::tcp::socket& socket, const ScriptedEndpoint::Request& request) -> asio::awaitable<bool> {
        const bool written = co_await WriteBytes(socket, AnswerTo(request));
        co_return written&& reads_body;
      };
}

// Guards against the rest of a request, or its early answer, ending up with the next call on the connection.
TEST_CASE("an answer that starts before its request is fully sent reaches its caller and no other") {
  const EchoingDialect dialect;
  CallFixture fixture(dialect);
  ScriptedEndpoint& endpoint = fixture.AddEndpoint(AnswerEarly(true));
  endpoint.AnswerAfterHead();
  fixture.Serve(Repeat::kNever, std::chrono::seconds(10));
  for (const std::string id : {"a", "b", "c"}) {
    CHECK(fixture.Send(Upload(id)).body == id);
    CHECK(fixture.Call(id + id).body == id + id);
  }
  CHECK(endpoint.RequestCount() == 6);
}

// Guards against a connection with half a request on it being used again, and against a second run of the request.
TEST_CASE("an endpoint that answers early and closes gets the request once, and its connection is not used again") {
  const EchoingDialect dialect;
  CallFixture fixture(dialect);
  ScriptedEndpoint& endpoint = fixture.AddEndpoint(AnswerEarly(false));
  endpoint.AnswerAfterHead();
  fixture.Serve(Repeat::kNever, std::chrono::seconds(10));
  for (const std::string id : {"a", "b", "c"}) {
    const ReceivedAnswer received = fixture.Send(Upload(id));
    // The rest of the request meets a closed connection, whose reset may overtake the answer.
    CHECK((received.body == id || !received.whole || received.status == 502));
    CHECK(fixture.Pool().IdleCount() == 0);
  }
  CHECK(endpoint.RequestCount() == 3);
}

}  // namespace
}  // namespace sassafras
