#include <doctest/doctest.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "call_fixture.h"
#include "echoing_dialect.h"
#include "entry/native_dialect.h"

namespace sassafras {
namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\nSassafras-Request-Id: own\r\n";
constexpr std::chrono::seconds kDeadline{10};

/** How an endpoint ends its connection after a part of an answer. */
enum class Ending { kClose, kReset };

/** What an endpoint plays next: the first `cut` bytes of its answer, then the end of the connection. */
struct Cut {
  size_t bytes = 0;
  Ending ending = Ending::kClose;
};

std::string WithLength(const std::string& body) {
  return kHead + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Chunk(const std::string& body) {
  std::string size(16, '\0');
  size.resize(static_cast<size_t>(std::snprintf(size.data(), size.size(), "%zx", body.size())));
  return size + "\r\n" + body + "\r\n";
}

std::string Chunked(const std::string& body) {
  const size_t half = body.size() / 2;
  return kHead + "Transfer-Encoding: chunked\r\n\r\n" + Chunk(body.substr(0, half)) + Chunk(body.substr(half)) +
         "0\r\nX-Trailer: t\r\n\r\n";
}

std::string WithoutLength(const std::string& body) {
  return kHead + "\r\n" + body;
}

/** Body larger than what an attempt buffers, so that it is relayed while it arrives. */
std::string LargeBody() {
  std::string body;
  while (body.size() < (300u << 10u))
    body += std::to_string(body.size()) + ",";
  return body;
}

/** Plays the bytes of `answer` that `cut` says and ends the connection. */
ScriptedEndpoint::Script PlayCut(const std::string& answer, const Cut& cut) {
  return [&answer, &cut](asio::ip::tcp::socket& socket,
                         const ScriptedEndpoint::Request& /*request*/) -> asio::awaitable<bool> {
    error_code ignored;
    co_await WriteBytes(socket, answer.substr(0, cut.bytes));
    if (cut.ending == Ending::kReset)
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
    // The destructor of a socket would turn the option off and close in the orderly way.
    socket.close(ignored);
    co_return false;
  };
}

/** Every position in a small answer; in a large one some positions in the body and all near its two ends. */
std::vector<size_t> CutsOf(const std::string& answer) {
  constexpr size_t kSmall = 1'024;
  constexpr size_t kEnds = 200;
  constexpr size_t kStep = 32'749;
  std::vector<size_t> cuts;
  for (size_t cut = 0; cut < answer.size(); ++cut) {
    const bool near_end = cut < kEnds || cut + kEnds > answer.size();
    if (answer.size() < kSmall || near_end || cut % kStep == 0)
      cuts.push_back(cut);
  }
  return cuts;
}

/** Checks that no part of `answer` that ends as `ending` says reaches a caller as a complete success. */
void CheckNeverWhole(const HttpDialect& dialect, const std::string& answer, Ending ending) {
  Cut cut;
  CallFixture fixture(dialect);
  ScriptedEndpoint& endpoint = fixture.AddEndpoint(PlayCut(answer, cut));
  fixture.Serve(Repeat::kNever, kDeadline);
  size_t calls = 0;
  for (const size_t position : CutsOf(answer)) {
    CAPTURE(position);
    cut = {position, ending};
    const ReceivedAnswer received = fixture.Call("own");
    CHECK_FALSE((received.whole && received.status == 200));
    // Whether it ran is unknown, so it is not sent again.
    CHECK(endpoint.RequestCount() == ++calls);
  }
}

// Guards against a truncated answer that a caller takes for the whole one.
TEST_CASE("an answer with a length or in chunks that ends at any byte never looks whole") {
  const EchoingDialect dialect;
  for (const Ending ending : {Ending::kClose, Ending::kReset}) {
    CAPTURE(static_cast<int>(ending));
    CheckNeverWhole(dialect, WithLength("some body"), ending);
    CheckNeverWhole(dialect, Chunked("some body"), ending);
  }
}

// The same for bodies that are relayed while they arrive.
TEST_CASE("a download with a length or in chunks that ends at any byte never looks whole") {
  const EchoingDialect dialect;
  const std::string body = LargeBody();
  for (const Ending ending : {Ending::kClose, Ending::kReset}) {
    CAPTURE(static_cast<int>(ending));
    CheckNeverWhole(dialect, WithLength(body), ending);
    CheckNeverWhole(dialect, Chunked(body), ending);
  }
}

// Guards against a reset being taken for the end of a body that only the end of the connection delimits.
TEST_CASE("an answer without a length that is reset at any byte never looks whole") {
  const EchoingDialect dialect;
  CheckNeverWhole(dialect, WithoutLength("some body"), Ending::kReset);
  CheckNeverWhole(dialect, WithoutLength(LargeBody()), Ending::kReset);
}

// Endpoints of the native dialect must frame their answers: the end of a connection proves nothing.
TEST_CASE("an answer without a length is not accepted where the dialect requires one") {
  const NativeDialect dialect;
  CheckNeverWhole(dialect, WithoutLength("some body") + "x", Ending::kClose);
  CheckNeverWhole(dialect, WithoutLength(LargeBody()), Ending::kClose);
}

// Guards against a relayed body without an end that the caller can see: it would wait until it gives up.
TEST_CASE("whole answers of every framing reach the caller with a framing of their own") {
  const EchoingDialect dialect;
  for (const std::string& body : {std::string("some body"), LargeBody()}) {
    for (const std::string& answer : {WithLength(body), Chunked(body), WithoutLength(body)}) {
      CAPTURE(answer.substr(0, 100));
      const Cut cut{answer.size(), Ending::kClose};
      CallFixture fixture(dialect);
      fixture.AddEndpoint(PlayCut(answer, cut));
      fixture.Serve(Repeat::kNever, kDeadline);
      const ReceivedAnswer received = fixture.Send("GET /x HTTP/1.1\r\nHost: h\r\nSassafras-Request-Id: own\r\n\r\n");
      CHECK(received.whole);
      CHECK(received.framed);
      CHECK(received.status == 200);
      CHECK((received.body == body));
    }
  }
}

}  // namespace
}  // namespace sassafras
