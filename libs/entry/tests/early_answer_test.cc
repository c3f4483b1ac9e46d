#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "call_fixture.h"
#include "echoing_dialect.h"
#include "entry/native_dialect.h"
#include "net/http_client.h"
#include "prober.h"

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

/** How an endpoint ends its connection while a request is still being written to it. */
enum class Ending {
  kReset,
  /** An orderly close, which becomes a reset because bytes of the request are unread. */
  kCloseUnread,
};

/** Answers an upload with `body` and without a length, once its head is read, and ends the connection. */
ScriptedEndpoint::Script AnswerWithoutLength(const std::string& body, Ending ending) {
  return [body, ending](asio::ip::tcp::socket& socket,
                        const ScriptedEndpoint::Request& /*request*/) -> asio::awaitable<bool> {
    co_await WriteBytes(socket, "HTTP/1.1 200 OK\r\nSassafras-Request-Id: own\r\n\r\n" + body);
    error_code ignored;
    if (ending == Ending::kReset)
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
    co_return false;
  };
}

// Guards against the part of a body that has arrived being taken for the whole: the write that fails because of the
// reset takes the error from the socket, and a read then sees an orderly end.
TEST_CASE("an early answer without a length that is reset while the request is written never looks whole") {
  const EchoingDialect dialect;
  constexpr size_t kMoreThanIsBuffered = 300u << 10u;
  for (const Ending ending : {Ending::kReset, Ending::kCloseUnread}) {
    for (const size_t size : {size_t{0}, size_t{9}, kMoreThanIsBuffered}) {
      CAPTURE(static_cast<int>(ending));
      CAPTURE(size);
      CallFixture fixture(dialect);
      ScriptedEndpoint& endpoint = fixture.AddEndpoint(AnswerWithoutLength(std::string(size, 'y'), ending));
      endpoint.AnswerAfterHead();
      fixture.Serve(Repeat::kNever, std::chrono::seconds(10));
      const ReceivedAnswer received = fixture.Send(Upload("own"));
      CHECK_FALSE((received.whole && received.status == 200));
      CHECK(endpoint.RequestCount() == 1);
      CHECK(fixture.Pool().IdleCount() == 0);
      CHECK(fixture.GetEngine().GetState().CallsInProgress() == 0);
    }
  }
}

// Guards against refusing such an answer where it is known to be whole.
TEST_CASE("an early answer without a length reaches its caller if the endpoint reads the request to its end") {
  const EchoingDialect dialect;
  CallFixture fixture(dialect);
  const auto answer = [](asio::ip::tcp::socket& socket, const ScriptedEndpoint::Request&) -> asio::awaitable<bool> {
    error_code ignored;
    co_await WriteBytes(socket, "HTTP/1.1 200 OK\r\nSassafras-Request-Id: own\r\n\r\nthe whole body");
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    co_return true;
  };
  ScriptedEndpoint& endpoint = fixture.AddEndpoint(answer);
  endpoint.AnswerAfterHead();
  fixture.Serve(Repeat::kNever, std::chrono::seconds(10));
  const ReceivedAnswer received = fixture.Send(Upload("own"));
  CHECK(received.whole);
  CHECK(received.status == 200);
  CHECK(received.body == "the whole body");
}

// Guards against a part of a reply being decoded.
TEST_CASE("a reply without a length that is reset while its request is written, or after it, is an error") {
  for (const Ending ending : {Ending::kReset, Ending::kCloseUnread}) {
    for (const size_t size : {size_t{0}, kBodyBytes}) {
      CAPTURE(static_cast<int>(ending));
      CAPTURE(size);
      asio::io_context context;
      ScriptedEndpoint endpoint(context, AnswerWithoutLength("{}", ending));
      endpoint.AnswerAfterHead();
      absl::Status status;
      const auto run = [&]() -> asio::awaitable<void> {
        const auto reply =
            co_await SendHttp(endpoint.Address(), "POST", "/x", std::string(size, 'x'), std::chrono::seconds(5));
        status = reply.status();
        context.stop();
      };
      asio::co_spawn(context, run(), asio::detached);
      context.run();
      // With nothing unread the close stays an orderly one, and the reply is whole.
      const bool whole = ending == Ending::kCloseUnread && size == 0;
      CHECK(status.ok() == whole);
    }
  }
}

// Guards against the load in an answer to a probe that broke off.
TEST_CASE("a probe's answer without a length that is reset counts as no answer") {
  const NativeDialect dialect;
  CallFixture fixture(dialect);
  const auto reset = [](asio::ip::tcp::socket& socket, const ScriptedEndpoint::Request&) -> asio::awaitable<bool> {
    co_await WriteBytes(socket, "HTTP/1.1 200 OK\r\nUpstream-Load: 0\r\nUpstream-Draining: 1\r\n\r\npart");
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
    co_return false;
  };
  const ScriptedEndpoint& endpoint = fixture.AddEndpoint(reset);
  fixture.Serve(Repeat::kNever, std::chrono::seconds(10));
  Prober prober(fixture.Context().get_executor(), fixture.GetEngine(), fixture.Pool(), dialect);
  prober.Send({EndpointHandle(0), TimePoint::max(), {}});
  fixture.RunUntil([&] { return endpoint.RequestCount() == 1 && endpoint.OpenConnectionCount() == 0; });
  while (fixture.Context().poll() > 0) {
  }
  CHECK_FALSE(fixture.GetEngine().GetState().IsLeaving(EndpointHandle(0)));
  CHECK(fixture.Pool().IdleCount() == 0);
}

}  // namespace
}  // namespace sassafras
