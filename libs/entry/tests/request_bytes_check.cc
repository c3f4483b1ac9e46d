#include "request_bytes_check.h"

#include <chrono>
#include <vector>

#include "call_fixture.h"
#include "entry/native_dialect.h"

namespace sassafras {
namespace {

/** What must reach an endpoint unchanged. */
struct RequestContent {
  std::string method;
  std::string target;
  std::string body;
  bool operator==(const RequestContent&) const = default;
};

RequestContent ContentOf(const http::request<http::string_body>& request) {
  const auto method = request.method_string();
  const auto target = request.target();
  return {{method.data(), method.size()}, {target.data(), target.size()}, request.body()};
}

/** The requests in what a caller sent, the last one perhaps incomplete, read independently of the code under test. */
std::vector<RequestContent> FindSentRequests(std::string_view bytes) {
  std::vector<RequestContent> requests;
  error_code error;
  while (!bytes.empty() && !error) {
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    parser.body_limit(boost::none);
    while (!parser.is_done() && !error && !bytes.empty()) {
      const size_t used = parser.put(asio::buffer(bytes.data(), bytes.size()), error);
      bytes.remove_prefix(used);
    }
    if (!error && parser.is_done())
      requests.push_back(ContentOf(parser.get()));
  }
  return requests;
}

/** Whether `part` can be made from `whole` by leaving some out. */
bool IsSubsequence(const std::vector<RequestContent>& part, const std::vector<RequestContent>& whole) {
  size_t found = 0;
  for (const RequestContent& request : whole)
    found += found < part.size() && part[found] == request ? 1 : 0;
  return found == part.size();
}

/** Whether the endpoint received no API key, and the name of the account "one" unless the route is public. */
bool HasProperAccount(const http::request<http::string_body>& request) {
  if (request.count(http::field::authorization) > 0)
    return false;
  const size_t names = request.count("Sassafras-Account");
  if (names == 0)
    return request.target().starts_with("/open/");
  return names == 1 && request["Sassafras-Account"] == "one";
}

/** Like CheckRequestBytes(), for an instance with the account "one", which has the key "k". */
std::string CheckAccounts(std::string_view bytes) {
  static const NativeDialect dialect;
  CallFixture fixture(dialect);
  bool proper = true;
  const auto answer = [&proper](asio::ip::tcp::socket& socket,
                                const ScriptedEndpoint::Request& request) -> asio::awaitable<bool> {
    proper = proper && HasProperAccount(request);
    const bool written = co_await WriteBytes(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    co_return written;
  };
  fixture.AddEndpoint(answer);
  Account account;
  account.name = "one";
  account.keys = {"k"};
  fixture.Serve(Repeat::kNever, std::chrono::milliseconds(500), {account});
  fixture.SendAll(std::string(bytes));
  return proper ? "" : "an endpoint received a key, or an account that the caller does not prove to be";
}

}  // namespace

std::string CheckRequestBytes(std::string_view bytes) {
  // Most requests without a key would be rejected.
  if (bytes.find("Bearer") != std::string_view::npos) {
    if (std::string broken = CheckAccounts(bytes); !broken.empty())
      return broken;
  }
  static const NativeDialect dialect;
  CallFixture fixture(dialect);
  std::vector<RequestContent> received;
  const auto answer = [&received](asio::ip::tcp::socket& socket,
                                  const ScriptedEndpoint::Request& request) -> asio::awaitable<bool> {
    received.push_back(ContentOf(request));
    const bool head = request.method() == http::verb::head;
    const std::string body = head ? "" : "ok";
    const bool written = co_await WriteBytes(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + body);
    co_return written;
  };
  fixture.AddEndpoint(answer);
  fixture.Serve(Repeat::kNever, std::chrono::milliseconds(500));
  fixture.SendAll(std::string(bytes));
  if (fixture.GetEngine().GetState().CallsInProgress() != 0)
    return "a call has not ended";
  if (!IsSubsequence(received, FindSentRequests(bytes)))
    return "an endpoint received a request that the caller did not send";
  return {};
}

}  // namespace sassafras
