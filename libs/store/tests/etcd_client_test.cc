#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include <absl/strings/escaping.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "fake_kv_server.h"
#include "store/etcd_client.h"

namespace sassafras {
namespace {

std::string DirectoryItem(const std::string& entry) {
  return R"({"key":")" + absl::Base64Escape("/platform/instances/x") + R"(","value":")" + absl::Base64Escape(entry) +
         R"("})";
}

/** Lists the directory of a store that returns `items`. */
absl::StatusOr<DirectoryListing> ListDirectory(const std::string& items) {
  boost::asio::io_context context;
  platform::FakeKvServer server(context);
  server.SetAnswer("POST /v3/kv/range", {200, R"({"header":{"revision":"12"},"kvs":[)" + items + "]}"});
  EtcdClient client({server.Address()}, "holder");
  std::optional<absl::StatusOr<DirectoryListing>> listing;
  boost::asio::co_spawn(
      context,
      [&]() -> boost::asio::awaitable<void> {
        listing = co_await client.List(0);
        server.Stop();
      },
      boost::asio::detached);
  context.run();
  REQUIRE(listing.has_value());
  return *std::move(listing);
}

// Guards against the failure that one damaged entry hid all instances from every entry instance.
TEST_CASE("List skips entries that cannot be decoded and returns the others") {
  const std::string first = DirectoryItem(R"({"kind":"entry","name":"i1","incarnation":"7"})");
  const std::string last = DirectoryItem(R"({"kind":"upstream","name":"u1","state":"leaving"})");
  const std::vector<std::string> damaged_items = {DirectoryItem("rubbish"),
                                                  DirectoryItem("[]"),
                                                  DirectoryItem(R"({"name":5})"),
                                                  DirectoryItem(R"({"name":"u2","incarnation":"x"})"),
                                                  R"({"key":"eA==","value":"no base64"})",
                                                  R"({"value":7})",
                                                  "{}",
                                                  "5"};
  for (const std::string& damaged : damaged_items) {
    CAPTURE(damaged);
    const auto listing = ListDirectory(first + "," + damaged + "," + last);
    REQUIRE(listing.ok());
    CHECK(listing->revision == 12);
    REQUIRE(listing->entries.size() == 2);
    CHECK(listing->entries[0].name == "i1");
    CHECK(listing->entries[1].name == "u1");
  }
}

TEST_CASE("List fails if the store's answer is no listing at all") {
  CHECK_FALSE(ListDirectory("}").ok());
}

}  // namespace
}  // namespace sassafras
