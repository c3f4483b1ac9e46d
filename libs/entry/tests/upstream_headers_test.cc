#include <doctest/doctest.h>

#include "core/load_report.h"
#include "http_types.h"
#include "upstream_headers.h"

namespace sassafras {
namespace {

// Guards against the leading digits of a damaged number being taken for the number.
TEST_CASE("a load or incarnation that is not a number counts as none") {
  http::fields fields;
  fields.set("Upstream-Load", "3x");
  fields.set("Upstream-Incarnation", "12x");
  const LoadReport damaged = ReadLoadReport(fields);
  CHECK_FALSE(damaged.present);
  CHECK(damaged.in_flight == 0);
  CHECK(damaged.incarnation == 0);
  fields.set("Upstream-Load", "3");
  fields.set("Upstream-Incarnation", "12");
  const LoadReport sound = ReadLoadReport(fields);
  CHECK(sound.present);
  CHECK(sound.in_flight == 3);
  CHECK(sound.incarnation == 12);
}

}  // namespace
}  // namespace sassafras
