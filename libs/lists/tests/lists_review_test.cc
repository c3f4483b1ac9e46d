#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "lists/lists_review.h"

namespace sassafras {
namespace {

using Entry = ListsFinding::Entry;
using Field = ListsFinding::Field;
using std::chrono::milliseconds;

Plan MakePlan(const std::string& name, const std::string& prefix) {
  Plan plan;
  plan.name = name;
  plan.host = "h.example";
  plan.method = "*";
  plan.path_prefix = prefix;
  plan.deadline = milliseconds(2'000);
  plan.objective_latency = milliseconds(400);
  plan.service = "s1";
  plan.max_attempts = 2;
  return plan;
}

/** Lists without a finding. */
Lists CleanLists() {
  Lists lists;
  lists.plans = {MakePlan("a", "/a/"), MakePlan("b", "/")};
  lists.services.emplace_back().name = "s1";
  lists.services.front().warmup_rate = 2;
  lists.services.front().warmup_duration = milliseconds(10'000);
  lists.accounts = {{"x", {"secret-x1", "secret-x2"}, true, 1, 10, 5}, {"y", {"secret-y"}, false, 0, 0, 0}};
  return lists;
}

bool Has(const std::vector<ListsFinding>& findings, Entry entry, const std::string& name, Field field) {
  return std::any_of(findings.begin(), findings.end(), [&](const ListsFinding& finding) {
    return finding.entry == entry && finding.name == name && finding.field == field && !finding.message.empty() &&
           !finding.remedy.empty();
  });
}

bool TellsSecret(const std::vector<ListsFinding>& findings) {
  return std::any_of(findings.begin(), findings.end(), [](const ListsFinding& finding) {
    return (finding.message + finding.remedy + finding.name).find("secret") != std::string::npos;
  });
}

TEST_CASE("lists without contradictions have no findings") {
  CHECK(ReviewLists(CleanLists()).empty());
  CHECK(ReviewLists(Lists()).empty());
  CHECK(ReviewChange(CleanLists(), CleanLists()).empty());
}

// Guards against entries that are accepted and never used, and limits that cannot both hold.
TEST_CASE("each entry that can never be used and each contradiction is found where it is") {
  struct Row {
    std::function<void(Lists&)> edit;
    Entry entry;
    std::string name;
    Field field;
  };
  const Row rows[] = {
      {[](Lists& l) { l.plans.push_back(MakePlan("c", "/a/")); }, Entry::kPlan, "c", Field::kPathPrefix},
      {[](Lists& l) { l.plans[0].path_prefix = "/a b"; }, Entry::kPlan, "a", Field::kPathPrefix},
      {[](Lists& l) { l.plans[0].path_prefix = "/a#b"; }, Entry::kPlan, "a", Field::kPathPrefix},
      {[](Lists& l) { l.plans[0].service = ""; }, Entry::kPlan, "a", Field::kService},
      {[](Lists& l) { l.plans[0].deadline = milliseconds(399); }, Entry::kPlan, "a", Field::kDeadline},
      {[](Lists& l) { l.plans[0].max_attempts = 5; }, Entry::kPlan, "a", Field::kMaxAttempts},
      {[](Lists& l) { l.services.emplace_back().name = "unused"; }, Entry::kService, "unused", Field::kNone},
      {[](Lists& l) { l.services.push_back(l.services[0]); }, Entry::kService, "s1", Field::kName},
      {[](Lists& l) { l.services[0].warmup_duration = {}; }, Entry::kService, "s1", Field::kWarmupRate},
      {[](Lists& l) { l.services[0].warmup_rate = 0; }, Entry::kService, "s1", Field::kWarmupDuration},
      {[](Lists& l) { l.accounts[0].burst = 0.5; }, Entry::kAccount, "x", Field::kBurst},
      {[](Lists& l) { l.accounts[0].rate_per_second = 0; }, Entry::kAccount, "x", Field::kBurst},
      {[](Lists& l) { l.accounts[0].rate_per_second = -1; }, Entry::kAccount, "x", Field::kRate},
      {[](Lists& l) { l.accounts[1].keys = {"secret-x2"}; }, Entry::kAccount, "y", Field::kKeys},
      {[](Lists& l) {
         l.accounts[0].keys = {"secret", "secret"};
       },
       Entry::kAccount, "x", Field::kKeys},
      {[](Lists& l) { l.accounts[1].keys = {""}; }, Entry::kAccount, "y", Field::kKeys},
      {[](Lists& l) { l.accounts[1].keys.clear(); }, Entry::kAccount, "y", Field::kKeys},
      {[](Lists& l) { l.accounts[1].name = ""; }, Entry::kAccount, "", Field::kName},
      {[](Lists& l) { l.accounts[1].name = "x"; }, Entry::kAccount, "x", Field::kName},
      {[](Lists& l) { l.plans[0].is_public = l.plans[1].is_public = true; }, Entry::kConfiguration, "",
       Field::kIsPublic},
  };
  for (const Row& row : rows) {
    Lists lists = CleanLists();
    row.edit(lists);
    const auto findings = ReviewLists(lists);
    CAPTURE(&row - rows);
    CHECK(findings.size() == 1);
    CHECK(Has(findings, row.entry, row.name, row.field));
    CHECK_FALSE(TellsSecret(findings));
  }
}

// Guards against a change that is valid and turns callers away.
TEST_CASE("callers that a change would turn away are found") {
  struct Row {
    std::function<void(Lists&)> edit;
    Entry entry;
    std::string name;
    Field field;
  };
  const Row rows[] = {
      {[](Lists& l) { l.plans.pop_back(); }, Entry::kPlan, "b", Field::kNone},
      {[](Lists& l) { l.plans[0].service = ""; }, Entry::kPlan, "a", Field::kService},
      {[](Lists& l) { l.plans[0].deadline = milliseconds(1'000); }, Entry::kPlan, "a", Field::kDeadline},
      {[](Lists& l) { l.plans[1].is_public = false; }, Entry::kPlan, "b", Field::kIsPublic},
      {[](Lists& l) { l.accounts[0].keys.pop_back(); }, Entry::kAccount, "x", Field::kKeys},
      {[](Lists& l) { l.accounts.pop_back(); }, Entry::kAccount, "y", Field::kKeys},
      {[](Lists& l) { l.accounts[0].rate_per_second = 9; }, Entry::kAccount, "x", Field::kRate},
      {[](Lists& l) { l.accounts[1].rate_per_second = 9; }, Entry::kAccount, "y", Field::kRate},
      {[](Lists& l) { l.limits.header_bytes = 1'000; }, Entry::kConfiguration, "", Field::kRequestLimits},
      {[](Lists& l) { l.limits.body_bytes = 1'000; }, Entry::kConfiguration, "", Field::kRequestLimits},
  };
  Lists before = CleanLists();
  before.plans[1].is_public = true;
  for (const Row& row : rows) {
    Lists after = before;
    row.edit(after);
    const auto findings = ReviewChange(before, after);
    CAPTURE(&row - rows);
    CHECK(findings.size() == 1);
    CHECK(Has(findings, row.entry, row.name, row.field));
    CHECK_FALSE(TellsSecret(findings));
  }
}

TEST_CASE("the first accounts turn away callers without a key, and a dropped route that another one covers nobody") {
  Lists before = CleanLists();
  before.accounts.clear();
  CHECK(Has(ReviewChange(before, CleanLists()), Entry::kPlan, "a", Field::kIsPublic));
  Lists after = CleanLists();
  after.plans.erase(after.plans.begin());
  CHECK(ReviewChange(CleanLists(), after).empty());
}

// Guards against API keys in what a difference prints.
TEST_CASE("differences cover accounts, public routes, warm-up and limits, and tell keys as numbers only") {
  const Lists before = CleanLists();
  Lists after = before;
  after.plans[0].is_public = true;
  after.services[0].warmup_rate = 3;
  after.accounts[0].keys = {"secret-x1", "secret-x3"};
  after.accounts[1].rate_per_second = 7;
  after.accounts.push_back({"z", {"secret-z"}, false, 0, 0, 0});
  after.limits.body_bytes = 5;
  std::string text;
  for (const std::string& line : DiffLists(before, after))
    text += line + "\n";
  for (const char* words : {"~ plan a: ", "public=true", "~ service s1: ", "warmup_rate=3", "~ account y: ", "rate=7",
                            "~ account x: keys added: 1, removed: 1", "+ account z: ", "~ limits: ", "body_bytes=5"}) {
    CAPTURE(words);
    CHECK(text.find(words) != std::string::npos);
  }
  CHECK(text.find("secret") == std::string::npos);
}

}  // namespace
}  // namespace sassafras
