#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "call_fixture.h"
#include "echoing_dialect.h"
#include "entry/native_dialect.h"
#include "net/http_client.h"
#include "net/stream_canceller.h"
#include "prober.h"

namespace sassafras {
namespace {

constexpr std::chrono::seconds kDeadline{10};
const std::string kFields = "Sassafras-Request-Id: own\r\nContent-Length: 4\r\n\r\nbody";
const std::string kSound = "HTTP/1.1 200 OK\r\n" + kFields;

/** Answers whose status line is none, each with the fields and the body of a sound answer. */
std::vector<std::string> AnswersWithInvalidStatus() {
  const std::string lines[] = {"HTTP/1.1 000 None", "HTTP/1.1 099 None", "HTTP/1.1 101 Switching", "HTTP/1.1 600 None",
                               "HTTP/1.1 999 None", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +200 OK",
                               "HTTP/1.1 -20 OK", "HTTP/1.1 OK", "HTTP/1.1 twohundred OK", "HTTP/1.1  200 OK",
                               "HTTP/1.1", "HTTP/0.9 200 OK",
                               // HTTP requires the space after the status even if no reason follows.
                               "HTTP/1.1 200", "HTTP/2.0 200 OK", "200 OK", "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK"};
  std::vector<std::string> answers;
  for (const std::string& line : lines)
    answers.push_back(line + "\r\n" + kFields);
  // A simple response of HTTP/0.9: a body and nothing else.
  answers.emplace_back("<html>a body without a status line</html>\r\n\r\n");
  return answers;
}

/** Interim responses after which the endpoint sends nothing more. */
std::vector<std::string> UnfinishedAnswers() {
  std::string many;
  for (int i = 0; i < 100; ++i)
    many += "HTTP/1.1 199 None\r\n\r\n";
  return {"HTTP/1.1 100 Continue\r\n\r\n",   "HTTP/1.1 101 Switching Protocols\r\n\r\n",
          "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 199 None\r\n\r\n",
          "HTTP/1.1 199 None\r\n" + kFields, many};
}

/** Plays `bytes` for every request and leaves the connection open, or closes it. */
ScriptedEndpoint::Script Play(const std::string& bytes, bool stays_open) {
  return [&bytes, stays_open](asio::ip::tcp::socket& socket,
                              const ScriptedEndpoint::Request& /*request*/) -> asio::awaitable<bool> {
    co_await WriteBytes(socket, bytes);
    co_return stays_open;
  };
}

/** Keeps the clock at real time, which socket timers follow, and the fixture from advancing it. */
asio::awaitable<void> FollowRealTime(CallFixture& fixture) {
  asio::steady_timer timer(fixture.Context());
  error_code ignored;
  while (true) {
    fixture.SetClockToRealTime();
    timer.expires_after(std::chrono::milliseconds(2));
    co_await timer.async_wait(AwaitWithError(ignored));
  }
}

/** Runs until `condition` holds, for at most a second of real time; returns whether it holds. */
template <typename Condition>
bool RunAtMost(CallFixture& fixture, Condition condition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(1);
  fixture.RunUntil([&] { return condition() || std::chrono::steady_clock::now() > end; });
  return condition();
}

/** Checks that `answer` reaches no caller and that no other request is sent on its connection. */
void CheckIsNoAnswer(const std::string& answer, bool stays_open) {
  CAPTURE(answer.substr(0, 100));
  CAPTURE(stays_open);
  const EchoingDialect dialect;
  CallFixture fixture(dialect);
  const ScriptedEndpoint& endpoint = fixture.AddEndpoint(Play(answer, stays_open));
  fixture.Serve(Repeat::kNever, kDeadline);
  CHECK(fixture.Call("own").status == 502);
  CHECK(endpoint.RequestCount() == 1);
  CHECK(fixture.Pool().IdleCount() == 0);
  CHECK(RunAtMost(fixture, [&] { return endpoint.OpenConnectionCount() == 0; }));
  CHECK(fixture.GetEngine().GetState().CallsInProgress() == 0);
}

// Guards against a status that no HTTP client can interpret reaching a caller, and against a call that waits for its
// deadline because the answer is taken for an interim one or for that of another request.
TEST_CASE("an answer whose status is none gives 502 at once, and its connection is closed") {
  for (const std::string& answer : AnswersWithInvalidStatus()) {
    CheckIsNoAnswer(answer, true);
    CheckIsNoAnswer(answer, false);
  }
}

TEST_CASE("interim responses that are followed by the end of the connection give 502") {
  for (const std::string& answer : UnfinishedAnswers())
    CheckIsNoAnswer(answer, false);
}

// Guards against an idempotent call that fails although another endpoint could answer it.
TEST_CASE("an idempotent call goes to another endpoint after an answer whose status is none") {
  for (const std::string& answer : AnswersWithInvalidStatus()) {
    CAPTURE(answer.substr(0, 100));
    const EchoingDialect dialect;
    CallFixture fixture(dialect);
    const ScriptedEndpoint& bad = fixture.AddEndpoint(Play(answer, true));
    const ScriptedEndpoint& good = fixture.AddEndpoint(Play(kSound, true));
    fixture.Serve(Repeat::kSafe, kDeadline);
    for (int call = 0; call < 4; ++call) {
      const ReceivedAnswer received = fixture.Call("own");
      CHECK(received.status == 200);
      CHECK(received.body == "body");
    }
    CHECK(good.RequestCount() == 4);
    CHECK(bad.RequestCount() > 0);
  }
}

// Guards against an idempotent call that waits until its deadline for what follows an interim response.
TEST_CASE("an idempotent call goes to another endpoint in time if nothing follows an interim response") {
  for (const std::string& answer : UnfinishedAnswers()) {
    CAPTURE(answer.substr(0, 100));
    const EchoingDialect dialect;
    CallFixture fixture(dialect);
    fixture.SetClockToRealTime();
    const ScriptedEndpoint& bad = fixture.AddEndpoint(Play(answer, true));
    fixture.AddEndpoint(Play(kSound, true));
    fixture.Serve(Repeat::kSafe, std::chrono::milliseconds(400));
    asio::co_spawn(fixture.Context(), FollowRealTime(fixture), asio::detached);
    for (int call = 0; call < 20 && bad.RequestCount() == 0; ++call)
      CHECK(fixture.Call("own").status == 200);
    CHECK(bad.RequestCount() == 1);
    CHECK(RunAtMost(fixture, [&] { return bad.OpenConnectionCount() == 0; }));
  }
}

// Guards against the rule for idempotent calls cutting an answer short that is only slow after an interim response.
TEST_CASE("a call that must not be repeated waits for the answer after an interim response until its deadline") {
  const EchoingDialect dialect;
  CallFixture fixture(dialect);
  const std::string answer = "HTTP/1.1 100 Continue\r\n\r\n";
  const ScriptedEndpoint& endpoint = fixture.AddEndpoint(Play(answer, true));
  fixture.SetClockToRealTime();
  fixture.Serve(Repeat::kNever, std::chrono::milliseconds(200));
  CHECK(fixture.Call("own").status == 502);
  CHECK(endpoint.RequestCount() == 1);
  CHECK(RunAtMost(fixture, [&] { return endpoint.OpenConnectionCount() == 0; }));
}

// Guards against refusing what HTTP allows.
TEST_CASE("a status line without a reason phrase and interim responses before an answer are valid") {
  const std::string answers[] = {"HTTP/1.1 200 \r\n" + kFields, "HTTP/1.0 200 OK\r\n" + kFields,
                                 "HTTP/1.1 100 Continue\r\n\r\n" + kSound,
                                 "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 None\r\n\r\n" + kSound};
  for (const std::string& answer : answers) {
    CAPTURE(answer.substr(0, 100));
    const EchoingDialect dialect;
    CallFixture fixture(dialect);
    fixture.AddEndpoint(Play(answer, true));
    fixture.Serve(Repeat::kNever, kDeadline);
    const ReceivedAnswer received = fixture.Call("own");
    CHECK(received.status == 200);
    CHECK(received.body == "body");
  }
  for (const std::string status : {"299", "300", "418", "499", "599"}) {
    CAPTURE(status);
    const std::string answer = "HTTP/1.1 " + status + " Odd\r\n" + kFields;
    const EchoingDialect dialect;
    CallFixture fixture(dialect);
    fixture.AddEndpoint(Play(answer, true));
    fixture.Serve(Repeat::kNever, kDeadline);
    CHECK(fixture.Call("own").status == static_cast<unsigned>(std::stoi(status)));
  }
}

// Guards against a probe's answer with such a status that marks the endpoint as free, or whose connection is kept.
TEST_CASE("a probe's answer whose status is none counts as no answer, and its connection is closed") {
  const std::string load = "Upstream-Load: 0\r\nUpstream-Draining: 1\r\nContent-Length: 0\r\n\r\n";
  for (const std::string status : {"000", "099", "100", "101", "199", "600", "999"}) {
    CAPTURE(status);
    const std::string answer = "HTTP/1.1 " + status + " None\r\n" + load;
    const NativeDialect dialect;
    CallFixture fixture(dialect);
    const ScriptedEndpoint& endpoint = fixture.AddEndpoint(Play(answer, true));
    fixture.Serve(Repeat::kNever, kDeadline);
    Prober prober(fixture.Context().get_executor(), fixture.GetEngine(), fixture.Pool(), dialect);
    prober.Send({EndpointHandle(0), TimePoint::max(), {}});
    CHECK(RunAtMost(fixture, [&] { return endpoint.RequestCount() == 1 && endpoint.OpenConnectionCount() == 0; }));
    CHECK(fixture.Pool().IdleCount() == 0);
    CHECK_FALSE(fixture.GetEngine().GetState().IsLeaving(EndpointHandle(0)));
  }
}

// Guards against answers of the store or of a peer with such a status that are taken for a reply.
TEST_CASE("a reply of the store or of a peer whose status is none is an error") {
  for (const std::string status : {"000", "099", "100", "101", "199", "600", "999", "20", "2000"}) {
    CAPTURE(status);
    const std::string answer = "HTTP/1.1 " + status + " None\r\nContent-Length: 2\r\n\r\n{}";
    asio::io_context context;
    const ScriptedEndpoint endpoint(context, Play(answer, false));
    bool failed = false;
    const auto send = [&]() -> asio::awaitable<void> {
      const auto reply = co_await SendHttp(endpoint.Address(), "GET", "/x", "", std::chrono::seconds(5));
      failed = !reply.ok();
      context.stop();
    };
    asio::co_spawn(context, send(), asio::detached);
    context.run();
    CHECK(failed);
  }
}

// Guards against the body of such a reply being taken for events of a watch.
TEST_CASE("a stream of the store whose status is none has no lines") {
  for (const std::string status : {"000", "199", "600"}) {
    CAPTURE(status);
    const std::string answer = "HTTP/1.1 " + status + " None\r\nContent-Length: 3\r\n\r\n{}\n";
    asio::io_context context;
    const ScriptedEndpoint endpoint(context, Play(answer, false));
    StreamCanceller canceller;
    size_t lines = 0;
    bool failed = false;
    const auto stream = [&]() -> asio::awaitable<void> {
      const absl::Status result = co_await StreamHttp(
          endpoint.Address(), "/x", "", std::chrono::seconds(5), [&](std::string_view) { ++lines; }, canceller);
      failed = !result.ok();
      context.stop();
    };
    asio::co_spawn(context, stream(), asio::detached);
    context.run();
    CHECK(failed);
    CHECK(lines == 0);
  }
}

}  // namespace
}  // namespace sassafras
