#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "call_fixture.h"
#include "echoing_dialect.h"
#include "entry/native_dialect.h"
#include "prober.h"

namespace sassafras {
namespace {

constexpr std::chrono::seconds kDeadline{10};

std::string IdOf(const ScriptedEndpoint::Request& request) {
  const auto id = request["Sassafras-Request-Id"];
  return {id.data(), id.size()};
}

/** Answer to the request `id`, with the id as its body. */
std::string AnswerTo(const std::string& id, const std::string& more_headers = {}) {
  return "HTTP/1.1 200 OK\r\nSassafras-Request-Id: " + id + "\r\n" + more_headers +
         "Content-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
}

/** Endpoint that keeps its connection open, so that a test can write more bytes to it after an answer. */
struct TalkingEndpoint {
  ScriptedEndpoint::Script Script() {
    return [this](asio::ip::tcp::socket& socket, const ScriptedEndpoint::Request& request) -> asio::awaitable<bool> {
      last_socket = &socket;
      const std::string id = IdOf(request);
      const std::string bytes = before_answer + AnswerTo(id);
      before_answer.clear();
      const bool written = co_await WriteBytes(socket, bytes);
      co_return written && !closes;
    };
  }

  /** Whether the connection is closed after the next answer. */
  bool closes = false;
  /** Written ahead of the next answer. */
  std::string before_answer;
  asio::ip::tcp::socket* last_socket = nullptr;
};

// Guards against the copy of an answer that is read from a pooled connection as the answer to the next call.
TEST_CASE("a second copy of an answer that arrives while its connection is idle reaches nobody") {
  const NativeDialect dialect;
  const std::string copy = AnswerTo("a");
  for (size_t size = 1; size <= copy.size(); ++size) {
    CAPTURE(size);
    CallFixture fixture(dialect);
    TalkingEndpoint talker;
    ScriptedEndpoint& endpoint = fixture.AddEndpoint(talker.Script());
    fixture.Serve(Repeat::kSafe, kDeadline);
    CHECK(fixture.Call("a").body == "a");
    REQUIRE(fixture.Pool().IdleCount() == 1);
    asio::write(*talker.last_socket, asio::buffer(copy.substr(0, size)));
    CHECK(fixture.Call("b").body == "b");
    CHECK(endpoint.ConnectionCount() == 2);
  }
}

// The same when the copy arrives after the next request was sent: only the id tells the two apart.
TEST_CASE("a second copy of an answer that arrives ahead of the next answer reaches nobody") {
  const EchoingDialect dialect;
  const std::string refusal = AnswerTo("a", "Upstream-Refused: full\r\n");
  const std::string probe_answer = "HTTP/1.1 200 OK\r\nUpstream-Load: 3\r\nContent-Length: 0\r\n\r\n";
  const std::string refused_probe = "HTTP/1.1 503 Full\r\nUpstream-Refused: full\r\nContent-Length: 0\r\n\r\n";
  for (const std::string& copy : {AnswerTo("a"), AnswerTo("a") + AnswerTo("a"), refusal, probe_answer, refused_probe}) {
    CAPTURE(copy);
    CallFixture fixture(dialect);
    TalkingEndpoint talker;
    ScriptedEndpoint& endpoint = fixture.AddEndpoint(talker.Script());
    fixture.Serve(Repeat::kNever, kDeadline);
    CHECK(fixture.Call("a").body == "a");
    talker.before_answer = copy;
    const ReceivedAnswer received = fixture.Call("b");
    CHECK(received.status == 200);
    CHECK(received.body == "b");
    CHECK(endpoint.RequestCount() == 2);
    CHECK(endpoint.ConnectionCount() == 1);
  }
}

// Guards against a copy that is cut off being completed by the bytes of the next answer.
TEST_CASE("a part of a second copy ahead of the next answer never becomes an answer") {
  const EchoingDialect dialect;
  const std::string copy = AnswerTo("a");
  for (size_t size = 1; size < copy.size(); ++size) {
    CAPTURE(size);
    CallFixture fixture(dialect);
    TalkingEndpoint talker;
    ScriptedEndpoint& endpoint = fixture.AddEndpoint(talker.Script());
    fixture.Serve(Repeat::kNever, kDeadline);
    CHECK(fixture.Call("a").body == "a");
    talker.before_answer = copy.substr(0, size);
    // A head that swallows the next answer would otherwise be waited for until the deadline.
    talker.closes = true;
    const ReceivedAnswer received = fixture.Call("b");
    const bool own = received.status == 200 && received.body == "b";
    CHECK((own || received.status == 502));
    CHECK(endpoint.RequestCount() == 2);
  }
}

// Guards against a connection with answers to spare being used again and again.
TEST_CASE("a connection with more copies than are skipped is closed, and its call is not sent again") {
  const EchoingDialect dialect;
  CallFixture fixture(dialect);
  TalkingEndpoint talker;
  ScriptedEndpoint& endpoint = fixture.AddEndpoint(talker.Script());
  fixture.Serve(Repeat::kNever, kDeadline);
  CHECK(fixture.Call("a").body == "a");
  talker.before_answer = AnswerTo("a") + AnswerTo("a") + AnswerTo("a");
  CHECK(fixture.Call("b").status == 502);
  CHECK(fixture.Pool().IdleCount() == 0);
  CHECK(endpoint.RequestCount() == 2);
  CHECK(fixture.Call("c").body == "c");
}

// Guards against the first answer of a call that was sent again, late on a connection that was kept.
TEST_CASE("the late first answer of a call that was sent again reaches nobody") {
  const EchoingDialect dialect;
  CallFixture fixture(dialect);
  asio::ip::tcp::socket* first_socket = nullptr;
  std::string refused_id;
  const auto refuse_once = [&](asio::ip::tcp::socket& socket,
                               const ScriptedEndpoint::Request& request) -> asio::awaitable<bool> {
    const std::string id = IdOf(request);
    const bool refuse = first_socket == nullptr;
    if (refuse) {
      first_socket = &socket;
      refused_id = id;
    }
    const std::string answer = refuse ? AnswerTo(id, "Upstream-Refused: full\r\n") : AnswerTo(id);
    const bool written = co_await WriteBytes(socket, answer);
    co_return written;
  };
  ScriptedEndpoint& one = fixture.AddEndpoint(refuse_once);
  ScriptedEndpoint& two = fixture.AddEndpoint(refuse_once);
  fixture.Serve(Repeat::kNever, kDeadline);
  CHECK(fixture.Call("a").body == "a");
  REQUIRE(refused_id == "a");
  CHECK(one.RequestCount() + two.RequestCount() == 2);
  asio::write(*first_socket, asio::buffer(AnswerTo("a")));
  for (const std::string id : {"b", "c", "d", "e"})
    CHECK(fixture.Call(id).body == id);
}

// Guards against an interim answer to a probe being taken for its final one, which would then arrive late.
TEST_CASE("the final answer to a probe that follows an interim one reaches no call") {
  const NativeDialect dialect;
  CallFixture fixture(dialect);
  uint16_t probed_port = 0;
  const auto answer = [&](asio::ip::tcp::socket& socket,
                          const ScriptedEndpoint::Request& request) -> asio::awaitable<bool> {
    const uint16_t port = socket.remote_endpoint().port();
    std::string bytes = "HTTP/1.1 102 Processing\r\n\r\n";
    if (request.target() == "/probe")
      probed_port = port;
    else
      bytes = AnswerTo(IdOf(request));
    // The answer to the probe becomes ready only now, after the request of a call was read.
    if (request.target() != "/probe" && port == probed_port)
      bytes = AnswerTo("health") + bytes;
    const bool written = co_await WriteBytes(socket, bytes);
    co_return written;
  };
  const ScriptedEndpoint& endpoint = fixture.AddEndpoint(answer);
  fixture.Serve(Repeat::kSafe, kDeadline);
  Prober prober(fixture.Context().get_executor(), fixture.GetEngine(), fixture.Pool(), dialect);
  prober.Send({EndpointHandle(0), TimePoint::max(), {}});
  fixture.RunUntil([&] { return probed_port != 0; });
  // The prober either closes the connection or takes the interim answer for the final one.
  fixture.RunUntil([&] { return endpoint.OpenConnectionCount() == 0 || fixture.Pool().IdleCount() > 0; });
  CHECK(fixture.Call("a").body == "a");
}

}  // namespace
}  // namespace sassafras
