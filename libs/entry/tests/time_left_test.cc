#include "entry/time_left.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "base/error.h"

namespace sassafras {
namespace {

absl::StatusOr<Duration> Parse(const std::string& value) {
  HttpDialect::Fields fields;
  fields.set("X-Deadline-Ms", value);
  return ParseTimeLeft(fields, "X-Deadline-Ms");
}

TEST_CASE("ParseTimeLeft reads whole milliseconds, and names the header of a value that is none") {
  CHECK(*Parse("250") == std::chrono::milliseconds(250));
  CHECK(*Parse("0") == Duration::zero());
  CHECK(*ParseTimeLeft(HttpDialect::Fields(), "X-Deadline-Ms") == Duration::max());
  for (const char* value : {"-1", "1.5", "250ms", "99999999999"}) {
    CAPTURE(value);
    const auto time_left = Parse(value);
    CHECK(ErrorKindOf(time_left.status()) == ErrorKind::kInvalidValue);
    CHECK(MessageOf(time_left.status()).find("X-Deadline-Ms") != std::string::npos);
  }
}

}  // namespace
}  // namespace sassafras
