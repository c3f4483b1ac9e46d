#include <doctest/doctest.h>

#include "net/query_encoding.h"

namespace sassafras {
namespace {

TEST_CASE("EncodeQueryValue encodes every byte that is not allowed in the value of a query") {
  CHECK(EncodeQueryValue("servers/a-b._~9") == "servers/a-b._~9");
  CHECK(EncodeQueryValue("a&b%c+d e=#") == "a%26b%25c%2Bd%20e%3D%23");
  CHECK(EncodeQueryValue("\xC3\xB5\n") == "%C3%B5%0A");
}

}  // namespace
}  // namespace sassafras
