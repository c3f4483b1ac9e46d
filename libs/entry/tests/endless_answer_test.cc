#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "call_fixture.h"
#include "echoing_dialect.h"
#include "entry/native_dialect.h"
#include "net/http_client.h"
#include "net/stream_canceller.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/** Bytes after which an endless endpoint gives up, so that a test of an unbounded reader ends. */
constexpr size_t kGiveUpBytes = 64u << 20u;
/** More than what the kernel buffers of two sockets and the buffers of an attempt hold. */
constexpr size_t kBoundedBytes = 16u << 20u;
constexpr milliseconds kDeadline{100};

/** Begins an answer with `head` and repeats `filler` until the connection is closed. */
struct EndlessAnswer {
  std::string name;
  std::string head;
  std::string filler;
};

std::string Repeated(const std::string& text) {
  std::string repeated;
  while (repeated.size() < 4'096)
    repeated += text;
  return repeated;
}

const std::vector<EndlessAnswer>& AnswersWithoutEnd() {
  static const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  static const std::string own = "HTTP/1.1 200 OK\r\nSassafras-Request-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n";
  static const std::string stray = "HTTP/1.1 200 OK\r\nSassafras-Request-Id: other\r\nContent-Length: 0\r\n\r\n";
  static const std::vector<EndlessAnswer> answers = {
      {"no HTTP", "no answer", Repeated("x")},
      {"header value", "HTTP/1.1 200 OK\r\nX-Filler: ", Repeated("x")},
      {"headers", "HTTP/1.1 200 OK\r\n", Repeated("X-Filler: x\r\n")},
      {"reason", "HTTP/1.1 200 ", Repeated("x")},
      {"interim responses", "", Repeated("HTTP/1.1 100 Continue\r\n\r\n")},
      {"chunk extension", chunked + "5;", Repeated("x")},
      {"trailers", chunked + "0\r\n", Repeated("X-Filler: x\r\n")},
      {"chunk size of the answer", own, Repeated("0")},
      {"chunk extension of the answer", own + "5;", Repeated("x")},
      {"trailers of the answer", own + "0\r\n", Repeated("X-Filler: x\r\n")},
      {"answers to other requests", "", Repeated(stray)},
  };
  return answers;
}

/** Plays `answer`; the clock advances one millisecond for each 64 KiB, and `sent` counts the bytes. */
ScriptedEndpoint::Script PlayEndlessly(const EndlessAnswer& answer, ManualClock& clock, size_t& sent) {
  return [&answer, &clock, &sent](asio::ip::tcp::socket& socket,
                                  const ScriptedEndpoint::Request& /*request*/) -> asio::awaitable<bool> {
    constexpr size_t kBytesPerMillisecond = 64u << 10u;
    error_code error;
    socket.set_option(asio::socket_base::send_buffer_size(16 << 10), error);
    bool open = co_await WriteBytes(socket, answer.head);
    size_t since_advance = 0;
    for (size_t own = 0; open && own < kGiveUpBytes; own += answer.filler.size()) {
      open = co_await WriteBytes(socket, answer.filler);
      sent += answer.filler.size();
      since_advance += answer.filler.size();
      if (since_advance >= kBytesPerMillisecond) {
        clock.Advance(milliseconds(1));
        since_advance = 0;
      }
    }
    co_return false;
  };
}

// Guards against an endpoint whose answer never ends taking memory or time without bound.
TEST_CASE("an answer to a call that has no end costs bounded memory, and its connection is closed") {
  const EchoingDialect dialect;
  for (const EndlessAnswer& answer : AnswersWithoutEnd()) {
    CAPTURE(answer.name);
    CallFixture fixture(dialect);
    size_t sent = 0;
    ScriptedEndpoint& endpoint = fixture.AddEndpoint(PlayEndlessly(answer, fixture.GetClock(), sent));
    // The deadline is out of reach: a limit on bytes must end the attempt.
    fixture.Serve(Repeat::kNever, std::chrono::hours(1));
    const ReceivedAnswer received = fixture.Call("own");
    fixture.RunUntilClosed(endpoint);
    CHECK(received.whole);
    CHECK(received.status == 502);
    CHECK(sent < kBoundedBytes);
    CHECK(endpoint.RequestCount() == 1);
    CHECK(fixture.Pool().IdleCount() == 0);
    CHECK(fixture.GetEngine().GetState().CallsInProgress() == 0);
  }
}

// Guards against a body that is relayed for as long as an endpoint sends it.
TEST_CASE("a body that has no end is relayed until the deadline and never looks complete") {
  const EchoingDialect dialect;
  const std::string id = "Sassafras-Request-Id: own\r\n";
  const std::vector<EndlessAnswer> answers = {
      {"no length", "HTTP/1.1 200 OK\r\n" + id + "\r\n", Repeated("x")},
      {"length", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 1000000000\r\n\r\n", Repeated("x")},
      {"chunks", "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n",
       "400\r\n" + std::string(1'024, 'x') + "\r\n"},
  };
  for (const EndlessAnswer& answer : answers) {
    CAPTURE(answer.name);
    CallFixture fixture(dialect);
    size_t sent = 0;
    ScriptedEndpoint& endpoint = fixture.AddEndpoint(PlayEndlessly(answer, fixture.GetClock(), sent));
    fixture.Serve(Repeat::kSafe, kDeadline);
    const ReceivedAnswer received = fixture.Call("own");
    fixture.RunUntilClosed(endpoint);
    CHECK_FALSE(received.whole);
    CHECK(sent < (size_t{kDeadline.count()} << 16u) + kBoundedBytes);
    CHECK(endpoint.RequestCount() == 1);
    CHECK(fixture.Pool().IdleCount() == 0);
    CHECK(fixture.GetEngine().GetState().CallsInProgress() == 0);
  }
}

// Guards against an endpoint that sends nonsense keeping its share of the calls.
TEST_CASE("an endpoint that answers with bytes without end is soon avoided") {
  const NativeDialect dialect;
  const EndlessAnswer& nonsense = AnswersWithoutEnd().front();
  CallFixture fixture(dialect);
  size_t sent = 0;
  ScriptedEndpoint& faulty = fixture.AddEndpoint(PlayEndlessly(nonsense, fixture.GetClock(), sent));
  const auto answer = [](asio::ip::tcp::socket& socket, const ScriptedEndpoint::Request&) {
    return WriteBytes(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  };
  ScriptedEndpoint& sound = fixture.AddEndpoint(answer);
  fixture.Serve(Repeat::kNever, kDeadline);
  constexpr size_t kCalls = 40;
  size_t answered = 0;
  for (size_t i = 0; i < kCalls; ++i) {
    const ReceivedAnswer received = fixture.Call(std::to_string(i));
    answered += received.whole && received.status == 200 ? 1 : 0;
  }
  constexpr size_t kFailuresToEject = 3;
  CHECK(faulty.RequestCount() <= kFailuresToEject);
  CHECK(answered == sound.RequestCount());
  CHECK(faulty.RequestCount() + sound.RequestCount() == kCalls);
}

/** Replies of a store or a peer that have no end. */
std::vector<EndlessAnswer> RepliesWithoutEnd() {
  std::vector<EndlessAnswer> replies = AnswersWithoutEnd();
  // The first of them is a whole reply, whatever follows it: its connection is not used again.
  std::erase_if(replies, [](const EndlessAnswer& answer) { return answer.name == "answers to other requests"; });
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  replies.push_back({"chunk size", chunked, Repeated("0")});
  replies.push_back({"body without a length", "HTTP/1.1 200 OK\r\n\r\n", Repeated("x")});
  replies.push_back({"body in chunks", chunked, "400\r\n" + std::string(1'024, 'x') + "\r\n"});
  return replies;
}

// Guards against a store or a peer, or what else serves at its address, taking memory without bound.
TEST_CASE("a reply of the store or of a peer that has no end costs bounded memory and is an error") {
  for (const EndlessAnswer& reply : RepliesWithoutEnd()) {
    CAPTURE(reply.name);
    asio::io_context context;
    ManualClock clock;
    size_t sent = 0;
    const ScriptedEndpoint endpoint(context, PlayEndlessly(reply, clock, sent));
    absl::Status status;
    const auto run = [&]() -> asio::awaitable<void> {
      const auto received = co_await SendHttp(endpoint.Address(), "GET", "/x", "", std::chrono::minutes(1));
      status = received.status();
      context.stop();
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    CHECK_FALSE(status.ok());
    CHECK(sent < kBoundedBytes);
  }
}

// The same for what a watch of the store reads; complete lines are passed on and take no memory.
TEST_CASE("a stream of the store that has no end of a line costs bounded memory") {
  for (const EndlessAnswer& reply : RepliesWithoutEnd()) {
    CAPTURE(reply.name);
    asio::io_context context;
    ManualClock clock;
    size_t sent = 0;
    const ScriptedEndpoint endpoint(context, PlayEndlessly(reply, clock, sent));
    StreamCanceller canceller;
    absl::Status status;
    const auto run = [&]() -> asio::awaitable<void> {
      status = co_await StreamHttp(
          endpoint.Address(), "/x", "", std::chrono::minutes(1), [](std::string_view) {}, canceller);
      context.stop();
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    CHECK_FALSE(status.ok());
    CHECK(sent < kBoundedBytes);
  }
}

}  // namespace
}  // namespace sassafras
