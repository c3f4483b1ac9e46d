#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "call_fixture.h"
#include "echoing_dialect.h"
#include "entry/native_dialect.h"
#include "net/http_client.h"
#include "net/stream_canceller.h"
#include "prober.h"

namespace sassafras {
namespace {

constexpr std::chrono::seconds kDeadline{10};
const std::string kId = "Sassafras-Request-Id: own\r\n";
const std::string kBefore = "HTTP/1.1 200 OK\r\nX-Before: b\r\n";
const std::string kEnd = "Content-Length: 4\r\n\r\nbody";

/** All bytes that no field name may hold, except the colon that ends it. Source: RFC 9110, section 5.6.2. */
std::string InvalidNameBytes() {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  constexpr int kLastByte = 255;
  std::string bytes;
  for (int value = 0; value <= kLastByte; ++value) {
    const char byte = static_cast<char>(value);
    const bool letter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    const bool digit = byte >= '0' && byte <= '9';
    if (!letter && !digit && byte != ':' && kSymbols.find(byte) == std::string_view::npos)
      bytes += byte;
  }
  return bytes;
}

/** Lines of a head whose field name holds `byte`; the later ones would frame the body if they were understood. */
std::vector<std::string> LinesWith(char byte) {
  const std::string text(1, byte);
  return {"X" + text + "Field: v\r\n",
          text + "X-Field: v\r\n",
          "X-Field" + text + ": v\r\n",
          "Content-Length" + text + ": 2\r\n",
          text + "Content-Length: 2\r\n",
          "Content" + text + "Length: 2\r\n",
          "Transfer-Encoding" + text + ": chunked\r\n",
          text + "Transfer-Encoding: chunked\r\n"};
}

/** Plays `bytes` for every request and closes the connection, or leaves it open. */
ScriptedEndpoint::Script Play(const std::string& bytes, bool stays_open = false) {
  return [&bytes, stays_open](asio::ip::tcp::socket& socket,
                              const ScriptedEndpoint::Request& /*request*/) -> asio::awaitable<bool> {
    co_await WriteBytes(socket, bytes);
    co_return stays_open;
  };
}

/** Checks that `answer` reaches no caller. */
void CheckIsNoAnswer(const std::string& answer) {
  CAPTURE(answer);
  const EchoingDialect dialect;
  CallFixture fixture(dialect);
  const ScriptedEndpoint& endpoint = fixture.AddEndpoint(Play(answer));
  fixture.Serve(Repeat::kNever, kDeadline);
  CHECK(fixture.Call("own").status == 502);
  CHECK(endpoint.RequestCount() == 1);
  CHECK(fixture.Pool().IdleCount() == 0);
  CHECK(fixture.GetEngine().GetState().CallsInProgress() == 0);
}

// Guards against a line that is passed on though it is no field, and against a body that is framed in another way than
// its endpoint meant.
TEST_CASE("an answer with a field name that holds a blank, a control byte or another invalid byte is none") {
  for (const char byte : InvalidNameBytes()) {
    for (const std::string& line : LinesWith(byte)) {
      CheckIsNoAnswer("HTTP/1.1 200 OK\r\n" + line + kId + kEnd);
      CheckIsNoAnswer(kBefore + line + kId + kEnd);
      CheckIsNoAnswer(kBefore + line + kId + "\r\nbody");
    }
  }
}

// Guards against a line that is told from the one before it only where both arrive in one read.
TEST_CASE("an answer with a line that begins with a blank is none, however its bytes arrive") {
  const EchoingDialect dialect;
  const std::string answer = kBefore + " Content-Length: 2\r\n" + kId + kEnd;
  for (size_t first = 1; first < answer.size(); ++first) {
    CAPTURE(first);
    CallFixture fixture(dialect);
    const auto play_in_two = [&](asio::ip::tcp::socket& socket,
                                 const ScriptedEndpoint::Request& /*request*/) -> asio::awaitable<bool> {
      co_await WriteBytes(socket, answer.substr(0, first));
      asio::steady_timer pause(fixture.Context(), std::chrono::milliseconds(1));
      error_code ignored;
      co_await pause.async_wait(AwaitWithError(ignored));
      const bool written = co_await WriteBytes(socket, answer.substr(first));
      co_return written;
    };
    fixture.AddEndpoint(play_in_two);
    fixture.Serve(Repeat::kNever, kDeadline);
    CHECK(fixture.Call("own").status == 502);
  }
}

// Guards against an idempotent call that fails although another endpoint could answer it.
TEST_CASE("an idempotent call goes to another endpoint after an answer with an invalid field name") {
  for (const std::string& line : LinesWith(' ')) {
    CAPTURE(line);
    const EchoingDialect dialect;
    CallFixture fixture(dialect);
    const std::string broken = kBefore + line + kId + "Content-Length: 3\r\n\r\nbad";
    const std::string sound = kBefore + kId + kEnd;
    const ScriptedEndpoint& bad = fixture.AddEndpoint(Play(broken));
    fixture.AddEndpoint(Play(sound));
    fixture.Serve(Repeat::kSafe, kDeadline);
    for (int call = 0; call < 4; ++call) {
      const ReceivedAnswer received = fixture.Call("own");
      CHECK(received.status == 200);
      CHECK(received.body == "body");
    }
    CHECK(bad.RequestCount() > 0);
  }
}

// Guards against such an answer to a probe that says that its endpoint is leaving, and whose connection is kept.
TEST_CASE("a probe's answer with a field name that begins with a blank counts as no answer") {
  for (const std::string line : {" X-Field: v\r\n", "\tContent-Length: 2\r\n"}) {
    CAPTURE(line);
    const std::string answer = kBefore + line + "Upstream-Load: 0\r\nUpstream-Draining: 1\r\nContent-Length: 0\r\n\r\n";
    const NativeDialect dialect;
    CallFixture fixture(dialect);
    const ScriptedEndpoint& endpoint = fixture.AddEndpoint(Play(answer, true));
    fixture.Serve(Repeat::kNever, kDeadline);
    Prober prober(fixture.Context().get_executor(), fixture.GetEngine(), fixture.Pool(), dialect);
    prober.Send({EndpointHandle(0), TimePoint::max(), {}});
    const auto is_closed = [&] { return endpoint.RequestCount() == 1 && endpoint.OpenConnectionCount() == 0; };
    fixture.RunUntil([&] { return is_closed() || fixture.Pool().IdleCount() > 0; });
    CHECK(is_closed());
    CHECK(fixture.Pool().IdleCount() == 0);
    CHECK_FALSE(fixture.GetEngine().GetState().IsLeaving(EndpointHandle(0)));
  }
}

// Guards against such a reply of the store or of a peer being decoded.
TEST_CASE("a reply of the store or of a peer with a field name that begins with a blank is an error") {
  for (const std::string line : {" X-Field: v\r\n", "\tContent-Length: 2\r\n"}) {
    CAPTURE(line);
    const std::string answer = kBefore + line + "Content-Length: 3\r\n\r\n{}\n";
    asio::io_context context;
    const ScriptedEndpoint endpoint(context, Play(answer));
    absl::Status sent;
    absl::Status streamed;
    size_t lines = 0;
    StreamCanceller canceller;
    const auto run = [&]() -> asio::awaitable<void> {
      const auto reply = co_await SendHttp(endpoint.Address(), "GET", "/x", "", std::chrono::seconds(5));
      sent = reply.status();
      streamed = co_await StreamHttp(
          endpoint.Address(), "/x", "", std::chrono::seconds(5), [&](std::string_view) { ++lines; }, canceller);
      context.stop();
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    CHECK_FALSE(sent.ok());
    CHECK_FALSE(streamed.ok());
    CHECK(lines == 0);
  }
}

}  // namespace
}  // namespace sassafras
