#include "answer_bytes_check.h"

#include <chrono>
#include <optional>

#include "call_fixture.h"
#include "echoing_dialect.h"
#include "net/http_status.h"

namespace sassafras {
namespace {

constexpr std::string_view kCallId = "own";

/** The answer to the call in what an endpoint sent, read independently of the code under test. */
struct SentAnswer {
  unsigned status = 0;
  std::string body;
};

/** Parses one response from the start of `bytes` and removes it from them; false if it is damaged or incomplete. */
bool TakeResponse(std::string_view& bytes, http::response_parser<http::string_body>& parser) {
  parser.eager(true);
  parser.body_limit(boost::none);
  error_code error;
  while (!parser.is_done() && !error && !bytes.empty()) {
    const size_t used = parser.put(asio::buffer(bytes.data(), bytes.size()), error);
    bytes.remove_prefix(used);
    if (used == 0 && !error)
      break;
  }
  if (!error && !parser.is_done() && parser.is_header_done() && parser.need_eof())
    parser.put_eof(error);
  return !error && parser.is_done();
}

/** The first whole response to the call; none if another one or damaged bytes come first too often. */
std::optional<SentAnswer> FindSentAnswer(std::string_view bytes) {
  while (!bytes.empty()) {
    http::response_parser<http::string_body> parser;
    if (!TakeResponse(bytes, parser))
      return std::nullopt;
    const auto id = parser.get()["Sassafras-Request-Id"];
    if (!IsInterimStatus(parser.get().result_int()) && std::string_view(id.data(), id.size()) == kCallId)
      return SentAnswer{parser.get().result_int(), parser.get().body()};
  }
  return std::nullopt;
}

}  // namespace

std::string CheckAnswerBytes(std::string_view bytes) {
  static const EchoingDialect dialect;
  CallFixture fixture(dialect);
  const auto play = [bytes](asio::ip::tcp::socket& socket,
                            const ScriptedEndpoint::Request& /*request*/) -> asio::awaitable<bool> {
    co_await WriteBytes(socket, std::string(bytes));
    co_return false;
  };
  const ScriptedEndpoint& endpoint = fixture.AddEndpoint(play);
  fixture.Serve(Repeat::kNever, std::chrono::milliseconds(500));
  const ReceivedAnswer received = fixture.Call(std::string(kCallId));
  fixture.RunUntilClosed(endpoint);
  if (endpoint.RequestCount() != 1)
    return "the call was sent more than once";
  if (fixture.GetEngine().GetState().CallsInProgress() != 0)
    return "the call has not ended";
  if (received.whole && !IsFinalStatus(received.status))
    return "the caller received a status that is none";
  const bool success = received.status >= 200 && received.status < 300;
  if (!received.whole || !success)
    return {};
  const std::optional<SentAnswer> sent = FindSentAnswer(bytes);
  if (!sent.has_value())
    return "the caller was told of a success that the endpoint did not send";
  if (sent->status != received.status || sent->body != received.body)
    return "the caller received another answer than the endpoint sent";
  return {};
}

}  // namespace sassafras
