#include <doctest/doctest.h>

#include <string>

#include "base/error.h"
#include "lists/lists.h"
#include "lists/lists_document.h"

namespace sassafras {
namespace {

constexpr std::string_view kPlans = R"(
[[plan]]
name = "orders"
customer = "shops"
method = "POST"
path = "/orders"
repeat = "never"
deadline = "2s"
objective_latency = "200ms"
)";

constexpr std::string_view kUpstreams = R"(
[[service]]
name = "orders"
probe_budget = 1.0
[[endpoint]]
name = "o-1"
service = "orders"
address = "127.0.0.1:9001"
slots = 6
[[permit]]
plan = "orders"
service = "orders"
)";

std::string Replace(std::string_view text, std::string_view from, std::string_view to) {
  std::string result(text);
  const size_t at = result.find(from);
  REQUIRE(at != std::string::npos);
  result.replace(at, from.size(), to);
  return result;
}

std::string ErrorOf(std::string_view plans, std::string_view upstreams) {
  const auto lists = ParseLists(plans, upstreams);
  REQUIRE_FALSE(lists.ok());
  return MessageOf(lists.status());
}

TEST_CASE("valid lists are parsed") {
  const auto lists = ParseLists(kPlans, kUpstreams);
  REQUIRE(lists.ok());
  REQUIRE(lists->plans.size() == 1);
  CHECK(lists->plans[0].repeat == Repeat::kNever);
  CHECK(lists->plans[0].deadline == std::chrono::seconds(2));
  CHECK(lists->plans[0].service == "orders");
  CHECK(lists->endpoints[0].slots == 6);
  CHECK(lists->endpoints[0].connections == 260);
}

TEST_CASE("an error names the row and the remedy") {
  struct Row {
    std::string plans;
    std::string upstreams;
    std::string expected;
  };
  const Row rows[] = {
      {Replace(kPlans, "repeat = \"never\"", "repeat = \"maybe\""), std::string(kUpstreams),
       "plans.toml plan 1 line 7: 'repeat' is none of safe, never"},
      {Replace(kPlans, "customer", "custmer"), std::string(kUpstreams), "'customer' is missing; add 'customer = ...'"},
      {Replace(kPlans, "deadline = \"2s\"", "deadline = 2"), std::string(kUpstreams), "\"40ms\""},
      {Replace(kPlans, "path = \"/orders\"", "path = \"orders\""), std::string(kUpstreams), "does not begin with '/'"},
      {Replace(kPlans, "path = \"/orders\"", "path = \"/sassafras/x\""), std::string(kUpstreams),
       "reserved for the entry instances"},
      {Replace(kPlans, "\"200ms\"", "\"3s\""), std::string(kUpstreams), "objective_latency is above deadline"},
      {std::string(kPlans), Replace(kUpstreams, "127.0.0.1:9001", "host:9001"), "is not IP:port"},
      {std::string(kPlans), Replace(kUpstreams, "127.0.0.1:9001", "127.0.0.1:9001abc"), "is not IP:port"},
      {std::string(kPlans), Replace(kUpstreams, "127.0.0.1:9001", "127.0.0.1:"), "is not IP:port"},
      {std::string(kPlans), Replace(kUpstreams, "slots = 6", "slots = 0"), "from 1 to 10000"},
      {std::string(kPlans), Replace(kUpstreams, "slots = 6", "slot = 6"), "'slots' is missing"},
      {std::string(kPlans), Replace(kUpstreams, "plan = \"orders\"", "plan = \"other\""), "no such plan"},
      {std::string(kPlans), Replace(kUpstreams, "[[permit]]", "[[permits]]"), "unknown table 'permits'"},
      {std::string(kPlans), std::string(kUpstreams) + "endpoints = [\"o-9\"]\n",
       "'o-9' does not belong to the service"},
      {std::string(kPlans) + std::string(kPlans), std::string(kUpstreams), "is defined twice"},
      {std::string(kPlans) + "extra = 1\n", std::string(kUpstreams), "unknown key 'extra'"},
      {std::string(kPlans) + "oops", std::string(kUpstreams), "fix the TOML syntax"},
      {std::string(kPlans), Replace(kUpstreams, "probe_budget = 1.0", "probe_budget = 0.1"), "probe_budget"},
  };
  for (const Row& row : rows) {
    const std::string message = ErrorOf(row.plans, row.upstreams);
    CAPTURE(message);
    CHECK(message.find(row.expected) != std::string::npos);
  }
}

// Guards against a limit of 0, which turns hedging off, that is taken for a missing one.
TEST_CASE("the hedge limit of a plan or service is a share of calls, and is not set unless it is written") {
  const auto without = ParseLists(kPlans, kUpstreams);
  REQUIRE(without.ok());
  CHECK_FALSE(without->plans[0].hedge_limit.has_value());
  CHECK_FALSE(without->services[0].hedge_limit.has_value());
  const auto with = ParseLists(std::string(kPlans) + "hedge_limit = 0\n",
                               Replace(kUpstreams, "probe_budget = 1.0", "probe_budget = 1.0\nhedge_limit = 25"));
  REQUIRE(with.ok());
  CHECK(with->plans[0].hedge_limit == 0.0);
  CHECK(with->services[0].hedge_limit == 0.25);
  const auto lines = DiffLists(*without, *with);
  REQUIRE(lines.size() == 2);
  CHECK(lines[0].ends_with(" hedge_limit=0"));
  CHECK(lines[1].ends_with(" hedge_limit=25"));
  for (const char* value : {"-1", "100.5", "\"10\""}) {
    const std::string message = ErrorOf(std::string(kPlans) + "hedge_limit = " + value + "\n", kUpstreams);
    CAPTURE(message);
    CHECK(message.find("plans.toml plan 1 line 10: 'hedge_limit' is not a number from 0 to 100") != std::string::npos);
  }
}

TEST_CASE("the diff names added, removed and changed rows") {
  const auto before = ParseLists(kPlans, kUpstreams);
  const auto after = ParseLists(kPlans, Replace(Replace(kUpstreams, "slots = 6", "slots = 7"), "o-1", "o-2"));
  REQUIRE(before.ok());
  REQUIRE(after.ok());
  const auto lines = DiffLists(*before, *after);
  REQUIRE(lines.size() == 2);
  CHECK(lines[0].starts_with("- endpoint o-1"));
  CHECK(lines[1].starts_with("+ endpoint o-2"));
  CHECK(DiffLists(*before, *before).empty());
}

TEST_CASE("a document survives encoding and keeps its latest change ids") {
  ListsDocument document;
  document.generation = 7;
  document.author = "someone";
  document.plans_toml = kPlans;
  document.upstreams_toml = kUpstreams;
  for (size_t i = 0; i < kMaxChangeIds + 10; ++i)
    document.changes.push_back(std::to_string(i));
  const auto text = EncodeDocument(document);
  REQUIRE(text.ok());
  const auto decoded = DecodeDocument(*text);
  REQUIRE(decoded.ok());
  CHECK(decoded->generation == 7);
  CHECK(decoded->plans_toml == kPlans);
  CHECK(decoded->changes.size() == kMaxChangeIds);
  CHECK(HasChange(*decoded, std::to_string(kMaxChangeIds + 9)));
  CHECK_FALSE(HasChange(*decoded, "0"));
  CHECK_FALSE(DecodeDocument("{\"generation\": 1}").ok());
  CHECK_FALSE(DecodeDocument("not JSON").ok());
}

TEST_CASE("a document above the platform's limit is rejected") {
  ListsDocument document;
  document.plans_toml.assign(kMaxDocumentBytes, 'x');
  const auto text = EncodeDocument(document);
  REQUIRE_FALSE(text.ok());
  CHECK(ErrorKindOf(text.status()) == ErrorKind::kLimitExceeded);
}

}  // namespace
}  // namespace sassafras
