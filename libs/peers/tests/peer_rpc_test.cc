#include <doctest/doctest.h>

#include <future>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/error.h"
#include "lists/lists_delta.h"
#include "peers/peer_rpc.h"

namespace sassafras {
namespace {

constexpr const char* kServer = "127.0.0.1:19011";
constexpr const char* kClient = "127.0.0.1:19012";

std::shared_ptr<const ListsDocument> MakeDocument(uint64_t generation) {
  auto document = std::make_shared<ListsDocument>();
  document->generation = generation;
  document->plans_toml = std::string(100'000, 'p') + std::to_string(generation);
  for (uint64_t i = 1; i <= generation; ++i)
    document->changes.push_back(std::to_string(i));
  return document;
}

absl::StatusOr<FetchedLists> Fetch(PeerRpc& rpc,
                                   const std::string& address,
                                   uint64_t above_generation,
                                   bool full_document) {
  std::promise<absl::StatusOr<FetchedLists>> fetched;
  rpc.Fetch(address, above_generation, full_document,
            [&](absl::StatusOr<FetchedLists> lists) { fetched.set_value(std::move(lists)); });
  return fetched.get_future().get();
}

TEST_CASE("a peer fetches the document, a delta or nothing, depending on the generation it has") {
  PeerRpc server;
  PeerRpc client;
  REQUIRE(server.Start(kServer).ok());
  REQUIRE(client.Start(kClient).ok());
  CHECK(Fetch(client, kServer, 0, false)->generation == 0);
  server.Publish(MakeDocument(1));
  server.Publish(MakeDocument(2));

  const auto full_document = Fetch(client, kServer, 0, false);
  REQUIRE(full_document.ok());
  CHECK(full_document->generation == 2);
  CHECK(DecodeDocument(full_document->document)->plans_toml == MakeDocument(2)->plans_toml);

  const auto delta = Fetch(client, kServer, 1, false);
  REQUIRE(delta.ok());
  CHECK(delta->document.empty());
  REQUIRE(delta->delta.has_value());
  CHECK(ApplyDelta(*MakeDocument(1), *delta->delta)->plans_toml == MakeDocument(2)->plans_toml);

  CHECK_FALSE(Fetch(client, kServer, 1, true)->document.empty());
  const auto nothing = Fetch(client, kServer, 2, false);
  CHECK(nothing->document.empty());
  CHECK_FALSE(nothing->delta.has_value());
  CHECK_FALSE(Fetch(client, "127.0.0.1:1", 0, false).ok());
  CHECK_FALSE(PeerRpc().Start(kServer).ok());
}

/** Fetches from `address` with a client that is destroyed before an answer arrives; returns the results passed on. */
std::vector<absl::StatusOr<FetchedLists>> FetchAndDestroy(bool started, const std::string& address) {
  std::vector<absl::StatusOr<FetchedLists>> results;
  {
    PeerRpc client;
    if (started)
      REQUIRE(client.Start(kClient).ok());
    client.Fetch(address, 0, false, [&](absl::StatusOr<FetchedLists> lists) { results.push_back(std::move(lists)); });
  }
  return results;
}

// Guards against the failure that whoever waited for an answer waited for ever once the instance stopped.
TEST_CASE("a fetch that is pending when the client is destroyed ends with an error") {
  // Connections to it are established, but never answered.
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor silent_peer(context, {boost::asio::ip::address_v4::loopback(), 0});
  const std::string address = "127.0.0.1:" + std::to_string(silent_peer.local_endpoint().port());
  for (const bool started : {true, false}) {
    CAPTURE(started);
    const auto results = FetchAndDestroy(started, address);
    REQUIRE(results.size() == 1);
    CHECK(ErrorKindOf(results[0].status()) == ErrorKind::kUnreachable);
  }
}

}  // namespace
}  // namespace sassafras
