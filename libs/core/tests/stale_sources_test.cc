#include <doctest/doctest.h>

#include <cstddef>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/gossip_message.h"
#include "single_instance.h"

namespace sassafras {
namespace {

using Millis = SingleInstance::Millis;
using Kind = EndpointChange::Kind;

constexpr uint64_t kFirstRevision = 10;
constexpr uint64_t kLastRevision = 60;

/** What a store held at each revision: a few endpoints that start, leave, go and come again. */
class StoreHistory {
 public:
  explicit StoreHistory(std::mt19937_64& random) {
    for (uint64_t revision = kFirstRevision; revision <= kLastRevision; ++revision) {
      const std::string name = "e" + std::to_string(random() % 6);
      EndpointChange change = SingleInstance::MakeChange(name, revision);
      const bool listed = m_listed.contains(name);
      change.kind = listed ? (random() % 2 == 0 ? Kind::kLeaving : Kind::kGone) : Kind::kServing;
      change.incarnation = revision;
      m_changes.push_back(change);
      if (change.kind == Kind::kGone)
        m_listed.erase(name);
      else
        m_listed[name] = change;
      m_snapshots[revision] = m_listed;
    }
  }

  /** All endpoints that were listed at `revision`. */
  std::vector<EndpointChange> ListingAt(uint64_t revision) const {
    std::vector<EndpointChange> listing;
    for (const auto& [name, change] : m_snapshots.at(revision))
      listing.push_back(change);
    return listing;
  }

  /** The changes after `after` up to `revision`. */
  std::vector<EndpointChange> ChangesBetween(uint64_t after, uint64_t revision) const {
    std::vector<EndpointChange> changes;
    for (const EndpointChange& change : m_changes) {
      if (change.revision > after && change.revision <= revision)
        changes.push_back(change);
    }
    return changes;
  }

  bool IsServingAtEnd(const std::string& name) const {
    const auto found = m_listed.find(name);
    return found != m_listed.end() && found->second.kind == Kind::kServing;
  }

 private:
  std::vector<EndpointChange> m_changes;
  std::map<std::string, EndpointChange> m_listed;
  std::map<uint64_t, std::map<std::string, EndpointChange>> m_snapshots;
};

/** Delivers what a slow or outdated source holds as of `revision`. */
void DeliverStale(SingleInstance& instance, const StoreHistory& history, uint64_t revision, std::mt19937_64& random) {
  const TimePoint now = instance.Now();
  const uint64_t after = kFirstRevision + random() % (revision - kFirstRevision + 1);
  const Millis age(random() % 20'000);
  switch (random() % 4) {
    case 0:  // A peer's whole list.
      instance.HandleEvent(Event::EndpointsReceived{now, revision, true, history.ListingAt(revision), true, age});
      break;
    case 1:  // A store that lags.
      instance.HandleEvent(
          Event::EndpointsReceived{now, revision, true, history.ListingAt(revision), false, Millis(0), true});
      break;
    case 2:  // A watch of the store whose answer was late.
      instance.HandleEvent(
          Event::EndpointsReceived{now, revision, false, history.ChangesBetween(after, revision), false, Millis(0)});
      break;
    default: {  // A peer or a relay that was paused.
      GossipMessage message;
      message.sender.name = "i1";
      message.sender.incarnation = 1;
      message.sender.peer_address = "127.0.0.1:9";
      message.generation = 1;
      message.relay = random() % 2 == 0;
      message.endpoint_changes = history.ChangesBetween(after, revision);
      message.endpoints_as_of = revision;
      message.endpoints_age = age;
      instance.HandleEvent(Event::GossipReceived{now, std::move(message)});
    }
  }
}

void CheckNoneIsBack(SingleInstance& instance, const StoreHistory& history) {
  const State& state = instance.GetState();
  for (const EndpointChange& known : state.KnownEndpoints()) {
    CAPTURE(known.row.name);
    CHECK((known.kind != Kind::kServing || history.IsServingAtEnd(known.row.name)));
  }
}

// Guards against an endpoint that has left coming back from a source that is behind, after a restart or without one.
TEST_CASE("endpoints that have left do not come back from peers, relays, watches or stores that are behind") {
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const StoreHistory history(random);
    SingleInstance instance;
    instance.ReceiveLists(1, SingleInstance::MakeLists("s"));
    // A start from sources that are behind, as after a restart.
    for (int i = 0; i < 3; ++i)
      DeliverStale(instance, history, kFirstRevision + random() % (kLastRevision - kFirstRevision), random);
    instance.ReceiveEndpoints(history.ListingAt(kLastRevision), true, kLastRevision);
    CheckNoneIsBack(instance, history);
    for (int i = 0; i < 20; ++i) {
      DeliverStale(instance, history, kFirstRevision + random() % (kLastRevision - kFirstRevision + 1), random);
      instance.Advance(Millis(random() % 30'000));
      instance.HandleEvent(Event::Tick{instance.Now()});
      CheckNoneIsBack(instance, history);
    }
  }
}

// Guards against a withdrawn route coming back with lists that are older than those in force.
TEST_CASE("a plan that was withdrawn does not come back with older lists") {
  SingleInstance instance;
  instance.ReceiveEndpoints({SingleInstance::MakeChange("e", 10)}, true, 10);
  instance.ReceiveLists(5, SingleInstance::MakeLists("s"));
  CHECK(instance.GetState().FindPlan("", "GET", "/x").IsValid());
  Lists without_plan = SingleInstance::MakeLists("s");
  without_plan.plans.clear();
  instance.ReceiveLists(7, std::move(without_plan));
  for (const uint64_t generation : {5, 6, 7}) {
    CAPTURE(generation);
    instance.ReceiveLists(generation, SingleInstance::MakeLists("s"));
    CHECK_FALSE(instance.GetState().FindPlan("", "GET", "/x").IsValid());
    instance.Advance(Millis(20'000));
    instance.HandleEvent(Event::Tick{instance.Now()});
    CHECK_FALSE(instance.GetState().FindPlan("", "GET", "/x").IsValid());
  }
}

}  // namespace
}  // namespace sassafras
