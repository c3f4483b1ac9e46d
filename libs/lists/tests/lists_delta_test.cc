#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

#include "lists/lists_delta.h"

namespace sassafras {
namespace {

ListsDocument MakeDocument(uint64_t generation, std::string plans, std::string upstreams) {
  ListsDocument document;
  document.generation = generation;
  document.author = "someone";
  document.plans_toml = std::move(plans);
  document.upstreams_toml = std::move(upstreams);
  for (uint64_t i = 1; i <= generation; ++i)
    document.changes.push_back("change-" + std::to_string(i));
  return document;
}

std::string Encoded(const ListsDocument& document) {
  return *EncodeDocument(document);
}

TEST_CASE("applying a delta to its base gives the target") {
  const bool passed = rc::check("delta", [] {
    // An alphabet of two letters, so that texts often share prefixes and suffixes.
    const auto text = rc::gen::container<std::string>(rc::gen::element('a', 'b'));
    const auto generations = *rc::gen::pair(rc::gen::inRange<uint64_t>(1, 5), rc::gen::inRange<uint64_t>(1, 700));
    const ListsDocument base = MakeDocument(generations.first, *text, *text);
    ListsDocument target = MakeDocument(generations.first + generations.second, *text, *text);
    if (target.changes.size() > kMaxChangeIds)
      target.changes.erase(target.changes.begin(), target.changes.end() - kMaxChangeIds);
    const auto delta = MakeDelta(base, target);
    if (!delta.has_value()) {
      RC_ASSERT(!HasChange(target, base.changes.back()));
      return;
    }
    const auto result = ApplyDelta(base, *delta);
    RC_ASSERT(result.ok());
    RC_ASSERT(Encoded(*result) == Encoded(target));
  });
  CHECK(passed);
}

TEST_CASE("the delta of a small edit is small, and it is rejected on another base") {
  const std::string lists(400'000, 'x');
  const ListsDocument base = MakeDocument(3, lists, lists);
  const ListsDocument target = MakeDocument(4, lists, lists.substr(0, 1'000) + "edit" + lists.substr(1'004));
  const auto delta = MakeDelta(base, target);
  REQUIRE(delta.has_value());
  CHECK(delta->upstreams.middle == "edit");
  CHECK(delta->new_changes == std::vector<std::string>{"change-4"});
  CHECK_FALSE(ApplyDelta(MakeDocument(2, lists, lists), *delta).ok());
  CHECK_FALSE(ApplyDelta(MakeDocument(3, "other", lists), *delta).ok());
  CHECK_FALSE(MakeDelta(target, base).has_value());
}

}  // namespace
}  // namespace sassafras
