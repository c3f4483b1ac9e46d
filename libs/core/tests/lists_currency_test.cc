#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "core/gossip_message.h"
#include "core/outcome.h"
#include "core/store_revision.h"
#include "single_instance.h"

namespace sassafras {
namespace {

using Millis = SingleInstance::Millis;

constexpr uint16_t kNotFound = 404;
constexpr uint16_t kServiceUnavailable = 503;

/** An instance that serves lists of generation 1, in which no plan covers the calls that the test sends. */
struct Fixture {
  Fixture() {
    Lists lists = SingleInstance::MakeLists("s");
    lists.plans.front().path_prefix = "/other/";
    instance.ReceiveLists(1, std::move(lists));
    instance.ReceiveEndpoints({SingleInstance::MakeChange("e", 10)}, true, 10);
  }
  /** Delivers a confirmation from the store that it holds no generation above `generation`. */
  void Confirm(uint64_t generation) { instance.HandleEvent(Event::StoreConfirmed{instance.Now(), generation}); }
  void ReceiveGossip(uint64_t generation, Millis store_age) {
    GossipMessage message;
    message.sender.name = "i1";
    message.sender.incarnation = 1;
    message.sender.peer_address = "127.0.0.1:9";
    message.generation = generation;
    message.store_age = store_age;
    instance.HandleEvent(Event::GossipReceived{instance.Now(), std::move(message)});
  }
  /** HTTP status with which a call that no plan covers is rejected. */
  uint16_t StatusOfUnmatchedCall() {
    const auto rejections = SingleInstance::EffectsOfType<Effect::Reject>(instance.ReceiveCall());
    REQUIRE(rejections.size() == 1);
    return InfoOf(rejections.front().reason).http_status;
  }

  SingleInstance instance;
};

// Guards against 404 for a proper request from an instance that was told of newer lists but does not have them yet.
TEST_CASE("an instance that knows of newer lists than its own does not say that no plan covers a request") {
  Fixture fixture;
  fixture.Confirm(1);
  CHECK(fixture.StatusOfUnmatchedCall() == kNotFound);
  fixture.ReceiveGossip(5, Millis(0));
  CHECK(fixture.StatusOfUnmatchedCall() == kServiceUnavailable);
  Lists lists = SingleInstance::MakeLists("s");
  lists.plans.front().path_prefix = "/other/";
  fixture.instance.ReceiveLists(5, std::move(lists));
  CHECK(fixture.StatusOfUnmatchedCall() == kNotFound);
}

// Guards against 404 for a proper request from an instance whose lists nobody has confirmed for long, as when it is cut
// off from the store and its peers.
TEST_CASE("an instance whose lists were not confirmed lately does not say that no plan covers a request") {
  Fixture fixture;
  fixture.Confirm(1);
  fixture.instance.Advance(Millis(5'000));
  CHECK(fixture.StatusOfUnmatchedCall() == kNotFound);
  fixture.instance.Advance(Millis(2'000));
  CHECK(fixture.StatusOfUnmatchedCall() == kServiceUnavailable);
  fixture.ReceiveGossip(1, Millis(500));
  CHECK(fixture.StatusOfUnmatchedCall() == kNotFound);
}

// Guards against 404 for a proper request from an instance that started with lists from a lagging read.
TEST_CASE("an instance that starts does not say that no plan covers a request before its lists are confirmed") {
  Fixture fixture;
  CHECK(fixture.StatusOfUnmatchedCall() == kServiceUnavailable);
  fixture.Confirm(1);
  CHECK(fixture.StatusOfUnmatchedCall() == kNotFound);
}

// Guards against 404 for a route that a restored store has lost and that the operator has not written again yet.
TEST_CASE("just after a restore of the store, an instance does not say that no plan covers a request") {
  Fixture fixture;
  fixture.instance.ReceiveEndpoints({}, false, MakeStoreRevision(1, 20));
  fixture.Confirm(1);
  CHECK(fixture.StatusOfUnmatchedCall() == kNotFound);
  fixture.instance.ReceiveEndpoints({}, false, MakeStoreRevision(2, 15));
  fixture.Confirm(1);
  CHECK(fixture.StatusOfUnmatchedCall() == kServiceUnavailable);
  fixture.instance.Advance(Millis(2'100));
  CHECK(fixture.StatusOfUnmatchedCall() == kNotFound);
}

// Guards against an instance that answers 503 for ever because a generation that a peer announced once was lost.
TEST_CASE("an announced generation that no instance has any more stops counting") {
  Fixture fixture;
  fixture.Confirm(1);
  fixture.ReceiveGossip(5, Millis(0));
  fixture.instance.Advance(Millis(7'000));
  fixture.Confirm(1);
  CHECK(fixture.StatusOfUnmatchedCall() == kNotFound);
}

// Guards against 404 for a request whose plan is in the lists but could not be decoded.
TEST_CASE("an instance whose lists lack a plan does not say that no plan covers a request") {
  Fixture fixture;
  fixture.Confirm(1);
  CHECK(fixture.StatusOfUnmatchedCall() == kNotFound);
  Lists lists = SingleInstance::MakeLists("s");
  lists.plans.front().path_prefix = "/other/";
  lists.has_unreadable_plans = true;
  fixture.instance.ReceiveLists(2, lists);
  CHECK(fixture.StatusOfUnmatchedCall() == kServiceUnavailable);
  lists.has_unreadable_plans = false;
  fixture.instance.ReceiveLists(3, lists);
  CHECK(fixture.StatusOfUnmatchedCall() == kNotFound);
}

}  // namespace
}  // namespace sassafras
