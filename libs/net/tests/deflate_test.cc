#include <doctest/doctest.h>

#include <string>

#include <rapidcheck.h>

#include "base/error.h"
#include "net/deflate.h"

namespace sassafras {
namespace {

constexpr size_t kSizeLimit = 1 << 20;

/** A list of routes, as large configurations repeat themselves. */
std::string MakeRoutes(int count) {
  std::string routes;
  for (int i = 0; i < count; ++i)
    routes += R"({"host":"shop.example","prefix":"/route)" + std::to_string(i) + R"(/","service":"catalogue"},)";
  return routes;
}

TEST_CASE("any bytes survive compression") {
  const bool passed = rc::check("round trip", [](const std::string& bytes) {
    const auto expanded = Inflate(Deflate(bytes), kSizeLimit);
    RC_ASSERT(expanded.ok());
    RC_ASSERT(*expanded == bytes);
  });
  CHECK(passed);
}

TEST_CASE("a large configuration shrinks to a fifth or less and comes back whole") {
  const std::string routes = MakeRoutes(3'000);
  const std::string stream = Deflate(routes);
  CHECK(stream.size() < routes.size() / 5);
  const auto expanded = Inflate(stream, kSizeLimit);
  REQUIRE(expanded.ok());
  CHECK(*expanded == routes);
}

TEST_CASE("a stream that was cut off at any byte, or damaged, is an error and never shorter data") {
  const std::string stream = Deflate(MakeRoutes(20));
  for (size_t length = 0; length < stream.size(); ++length) {
    CAPTURE(length);
    CHECK(ErrorKindOf(Inflate(stream.substr(0, length), kSizeLimit).status()) == ErrorKind::kInvalidSyntax);
  }
  CHECK_FALSE(Inflate(R"({"routes":[]})", kSizeLimit).ok());
}

TEST_CASE("a stream that expands without end is refused at the limit") {
  const auto expanded = Inflate(Deflate(std::string(4 * kSizeLimit, 'x')), kSizeLimit);
  CHECK(ErrorKindOf(expanded.status()) == ErrorKind::kLimitExceeded);
}

}  // namespace
}  // namespace sassafras
