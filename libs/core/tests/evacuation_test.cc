#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "core/gossip_message.h"
#include "core/store_revision.h"
#include "lists/lists.h"
#include "platform_fleet_simulation.h"
#include "single_instance.h"

namespace sassafras {
namespace {

using Millis = SingleInstance::Millis;

/** An instance that serves, with two endpoints in failure domain "a" and one in "b". */
struct ServingInstance : SingleInstance {
  explicit ServingInstance(const StateOptions& options = {}) : SingleInstance(options) {
    ReceiveLists(1, MakeLists("s"));
    ReceiveEndpoints({MakeChange("a1", 2), MakeChange("a2", 3), MakeChange("b1", 4, "b")}, true, 10);
  }

  /** Delivers a message of a peer in the other failure domain that states the evacuated domains as of a revision. */
  const Effects& ReceiveGossip(std::vector<std::string> domains, uint64_t as_of, bool relay = false) {
    Event::GossipReceived event;
    event.now = Now();
    event.message.sender.name = "peer";
    event.message.sender.failure_domain = "b";
    event.message.sender.peer_address = "p";
    event.message.sender.incarnation = 7;
    event.message.generation = 1;
    event.message.endpoints_digest = 0;
    event.message.relay = relay;
    event.message.evacuations = {as_of, std::move(domains)};
    return HandleEvent(event);
  }

  /** Makes this instance know another one in the given failure domain. */
  void AddMember(const std::string& name, const std::string& domain) {
    Event::GossipReceived event;
    event.now = Now();
    event.message.sender.name = name;
    event.message.sender.failure_domain = domain;
    event.message.sender.peer_address = name;
    event.message.sender.incarnation = 7;
    event.message.generation = 1;
    HandleEvent(event);
  }

  std::vector<std::string> Names(const std::vector<Effect::Dispatch>& dispatches) const {
    std::vector<std::string> names;
    for (const Effect::Dispatch& dispatch : dispatches)
      names.push_back(EndpointName(dispatch.endpoint));
    return names;
  }
};

using Strings = std::vector<std::string>;

// Guards against calls that still probe or use an evacuated failure domain, and against calls that fail although the
// other domains have endpoints.
TEST_CASE("calls of an instance whose own failure domain is evacuated go to the other one") {
  ServingInstance instance;
  instance.ReceiveEvacuations({"a"}, 20);
  for (int i = 0; i < 20; ++i) {
    const Effects effects = instance.ReceiveCall();
    const auto probes = SingleInstance::EffectsOfType<Effect::SendProbe>(effects);
    REQUIRE(probes.size() == 1);
    CHECK(instance.EndpointName(probes[0].endpoint) == "b1");
    const auto dispatches = SingleInstance::EffectsOfType<Effect::Dispatch>(instance.AnswerProbe(probes[0], 0, 1.0F));
    CHECK(instance.Names(dispatches) == Strings{"b1"});
    Event::AttemptEnded ended;
    ended.now = instance.Now();
    ended.call = dispatches.at(0).call;
    ended.endpoint = dispatches[0].endpoint;
    instance.HandleEvent(ended);
  }
}

// Guards against calls that wait for their deadline although no endpoint may take them, and against a rejection that
// does not say that the call has not run.
TEST_CASE("calls are rejected at once as not run if the failure domain of every endpoint is evacuated") {
  ServingInstance instance;
  instance.ReceiveEvacuations({"a", "b"}, 20);
  const auto rejections = SingleInstance::EffectsOfType<Effect::Reject>(instance.ReceiveCall());
  REQUIRE(rejections.size() == 1);
  CHECK(rejections[0].reason == Reason::kNoEndpoint);
  CHECK(InfoOf(rejections[0].reason).outcome == Outcome::kNotRun);
}

// Guards against a call that goes to an evacuated endpoint because its probe was sent before the evacuation.
TEST_CASE("an evacuation while calls probe the endpoints of the domain") {
  ServingInstance instance;
  const Effects effects = instance.ReceiveCall();
  auto probes = SingleInstance::EffectsOfType<Effect::SendProbe>(effects);
  // The first round asks the near endpoints.
  REQUIRE(probes.size() == 2);
  instance.ReceiveEvacuations({"a"}, 20);
  Strings dispatched;
  for (size_t i = 0; i < probes.size(); ++i) {
    const Effects answered = instance.AnswerProbe(probes[i], 0, 1.0F);
    for (const std::string& name : instance.Names(SingleInstance::EffectsOfType<Effect::Dispatch>(answered)))
      dispatched.push_back(name);
    for (const Effect::SendProbe& more : SingleInstance::EffectsOfType<Effect::SendProbe>(answered))
      probes.push_back(more);
  }
  CHECK(probes.size() == 3);
  CHECK(dispatched == Strings{"b1"});
}

/** Starts a call at an endpoint of failure domain "a"; returns its dispatch. */
Effect::Dispatch DispatchToA(ServingInstance& instance) {
  while (true) {
    const Effects effects = instance.ReceiveCall();
    for (const Effect::SendProbe& probe : SingleInstance::EffectsOfType<Effect::SendProbe>(effects)) {
      if (instance.EndpointName(probe.endpoint) == "b1")
        continue;
      const auto dispatches = SingleInstance::EffectsOfType<Effect::Dispatch>(instance.AnswerProbe(probe, 0, 1.0F));
      if (!dispatches.empty())
        return dispatches[0];
    }
  }
}

// Guards against a retry within the evacuated domain, and against an attempt whose connection opens after the
// evacuation: the I/O layer asks AcceptsCalls() right before it writes the request.
TEST_CASE("an evacuation while an attempt connects: it is withdrawn, and the retry goes to another domain") {
  ServingInstance instance;
  const Effect::Dispatch dispatch = DispatchToA(instance);
  CHECK(instance.GetState().AcceptsCalls(dispatch.endpoint));
  instance.ReceiveEvacuations({"a"}, 20);
  CHECK_FALSE(instance.GetState().AcceptsCalls(dispatch.endpoint));
  CHECK(instance.GetState().IsEvacuated(dispatch.endpoint));
  Event::AttemptEnded ended;
  ended.now = instance.Now();
  ended.call = dispatch.call;
  ended.endpoint = dispatch.endpoint;
  ended.result = AttemptResult::kWithdrawn;
  const Effects effects = instance.HandleEvent(ended);
  const auto probes = SingleInstance::EffectsOfType<Effect::SendProbe>(effects);
  REQUIRE(probes.size() == 1);
  CHECK(instance.EndpointName(probes[0].endpoint) == "b1");
}

// Guards against a running request that the evacuation cuts off, and against a hedge of it within the domain.
TEST_CASE("an evacuation while a request runs: it ends normally, and its hedge goes to another domain") {
  ServingInstance instance;
  // A hedge needs a known latency, which several answers give.
  constexpr int kAnswers = 12;
  for (int i = 0; i < kAnswers; ++i) {
    const Effect::Dispatch first = DispatchToA(instance);
    instance.Advance(Millis(30));
    Event::AttemptEnded ended;
    ended.now = instance.Now();
    ended.call = first.call;
    ended.endpoint = first.endpoint;
    instance.HandleEvent(ended);
  }
  const Effect::Dispatch second = DispatchToA(instance);
  REQUIRE(second.hedge_at != TimePoint::max());
  const Effects evacuated = instance.ReceiveEvacuations({"a"}, 20);
  CHECK(SingleInstance::EffectsOfType<Effect::Reject>(evacuated).empty());
  instance.Advance(second.hedge_at - instance.Now());
  const Effects hedging = instance.HandleEvent(Event::HedgeDue{instance.Now(), second.call});
  for (const Effect::SendProbe& probe : SingleInstance::EffectsOfType<Effect::SendProbe>(hedging))
    CHECK(instance.EndpointName(probe.endpoint) == "b1");
  Event::AttemptEnded ended;
  ended.now = instance.Now();
  ended.call = second.call;
  ended.endpoint = second.endpoint;
  const Effects answered = instance.HandleEvent(ended);
  CHECK(SingleInstance::EffectsOfType<Effect::Reject>(answered).empty());
  CHECK(instance.GetState().CallsInProgress() == 0);
}

// Guards against a held call that takes the slot which an answer frees in an evacuated domain.
TEST_CASE(
    "an evacuation while a call waits for a free slot: the answer of an evacuated endpoint does not dispatch it") {
  ServingInstance instance;
  const Effect::Dispatch running = DispatchToA(instance);
  const Effects arrived = instance.ReceiveCall(Millis(2'000));
  bool held = false;
  for (const Effect::SendProbe& probe : SingleInstance::EffectsOfType<Effect::SendProbe>(arrived)) {
    const Effects effects = instance.AnswerProbe(probe, 12, 1.0F);
    held = !SingleInstance::EffectsOfType<Effect::ArmProbeWaitTimer>(effects).empty();
    REQUIRE(SingleInstance::EffectsOfType<Effect::Dispatch>(effects).empty());
  }
  REQUIRE(held);
  instance.ReceiveEvacuations({"a"}, 20);
  Event::AttemptEnded ended;
  ended.now = instance.Now();
  ended.call = running.call;
  ended.endpoint = running.endpoint;
  ended.load.present = true;
  ended.load.slots = 6;
  CHECK(SingleInstance::EffectsOfType<Effect::Dispatch>(instance.HandleEvent(ended)).empty());
}

// Guards against calls queued during a revalidation that wait on, or go to the evacuated domain, when it ends.
TEST_CASE("an evacuation of all domains while calls wait in the queue rejects them") {
  StateOptions options;
  ServingInstance instance(options);
  instance.HandleEvent(Event::Tick{instance.Now()});
  // A pause: calls wait until the lists are confirmed.
  instance.Advance(Millis(3'000));
  const Effects arrived = instance.ReceiveCall(Millis(10'000));
  REQUIRE(SingleInstance::EffectsOfType<Effect::Reject>(arrived).empty());
  CHECK(instance.GetState().CallsWaiting() == 1);
  instance.HandleEvent(Event::StoreConfirmed{instance.Now(), 1});
  const Effects evacuated = instance.ReceiveEvacuations({"a", "b"}, 20);
  const auto rejections = SingleInstance::EffectsOfType<Effect::Reject>(evacuated);
  REQUIRE(rejections.size() == 1);
  CHECK(rejections[0].reason == Reason::kNoEndpoint);
}

// Guards against an instance that gets over an evacuation with an older set of a peer, as from one that was
// partitioned.
TEST_CASE("peers with older and newer sets: the higher revision wins") {
  ServingInstance instance;
  const auto& domains = instance.GetState().EvacuatedDomains();
  instance.ReceiveEvacuations({"a"}, 20);
  instance.ReceiveGossip({}, 19);
  CHECK(domains == Strings{"a"});
  // Of an earlier version, which states nothing.
  instance.ReceiveGossip({}, 0);
  CHECK(domains == Strings{"a"});
  instance.ReceiveGossip({"b", "a", "b"}, 21);
  CHECK(domains == Strings{"a", "b"});
  // A confirmation of the same set counts as well: an older set that differs must not replace it.
  instance.ReceiveEvacuations({"a", "b"}, 30);
  CHECK(instance.GetState().EvacuationsAsOf() == 30);
  instance.ReceiveGossip({"a"}, 25);
  CHECK(domains == Strings{"a", "b"});
  instance.ReceiveGossip({}, 31);
  CHECK(domains.empty());
}

// Guards against a restored store whose lower revision numbers keep instances at the set from before the restore.
TEST_CASE("a restored store: its first confirmed set replaces one of a higher number") {
  ServingInstance instance;
  const auto& domains = instance.GetState().EvacuatedDomains();
  instance.ReceiveEvacuations({"a"}, MakeStoreRevision(1, 900));
  instance.ReceiveEvacuations({}, MakeStoreRevision(2, 500));
  CHECK(domains.empty());
  instance.ReceiveGossip({"a"}, MakeStoreRevision(1, 950));
  CHECK(domains.empty());
  // A read that may lag tells no era; its number may be of the time before the restore.
  instance.ReceiveEvacuations({"a"}, 950);
  CHECK(domains.empty());
}

// Guards against a first read that lagged and stands for good, because its number is above that of confirmed reads.
TEST_CASE("a first read that lagged is replaced by the first confirmed set") {
  SingleInstance instance;
  instance.ReceiveEvacuations({"a"}, 900);
  instance.ReceiveEvacuations({"b"}, MakeStoreRevision(2, 500));
  CHECK(instance.GetState().EvacuatedDomains() == Strings{"b"});
}

// Guards against an instance that starts during an evacuation, with the store away, and sends requests into the
// evacuated domain because it has the lists and the endpoints from a peer.
TEST_CASE(
    "a restart during an evacuation with the store away: no call is accepted before a peer states the evacuations") {
  StateOptions options;
  options.discovery = true;
  options.ask_first = true;
  options.start = TimePoint(std::chrono::hours(1));
  options.self.name = "i0";
  options.self.failure_domain = "a";
  options.self.incarnation = 1;
  State state(options);
  Effects effects;
  const TimePoint now = options.start;
  const auto lists = std::make_shared<const Lists>(SingleInstance::MakeLists("s"));
  Reduce(state, Event::ListsReceived{now, 1, lists}, effects);
  Event::EndpointsReceived endpoints;
  endpoints.now = now;
  endpoints.as_of = 10;
  endpoints.whole = true;
  endpoints.from_peer = true;
  endpoints.changes = {SingleInstance::MakeChange("a1", 2), SingleInstance::MakeChange("b1", 4, "b")};
  Reduce(state, endpoints, effects);
  CHECK(state.CurrentPhase() == Phase::kStarting);
  Event::GossipReceived gossip;
  gossip.now = now;
  gossip.message.sender.name = "old";
  Reduce(state, gossip, effects);
  CHECK(state.CurrentPhase() == Phase::kStarting);
  gossip.message.sender.name = "peer";
  gossip.message.evacuations = {20, {"a"}};
  Reduce(state, gossip, effects);
  CHECK(state.CurrentPhase() == Phase::kServing);
  Event::CallArrived call;
  call.now = now;
  call.ticket = 1;
  call.plan = state.FindPlan("", "GET", "/x");
  call.time_left = Millis(2'000);
  effects.clear();
  Reduce(state, call, effects);
  for (const Effect::SendProbe& probe : SingleInstance::EffectsOfType<Effect::SendProbe>(effects))
    CHECK(state.EndpointConfig(probe.endpoint).name == "b1");
}

std::vector<std::string> Receivers(const Effects& effects, bool relay) {
  std::vector<std::string> addresses;
  for (const Effect::SendGossip& sent : SingleInstance::EffectsOfType<Effect::SendGossip>(effects)) {
    if (sent.message->relay == relay && sent.message->reply_to == 0)
      addresses.push_back(sent.peer_address);
  }
  std::sort(addresses.begin(), addresses.end());
  return addresses;
}

// Guards against an evacuation that spreads only by gossip rounds, or not at all into failure domains whose own watcher
// does not reach the store.
TEST_CASE("a change read from the store is told to the whole own domain at once, and to relays in the others") {
  ServingInstance instance;
  for (const char* name : {"a-1", "a-2", "a-3"})
    instance.AddMember(name, "a");
  for (const char* name : {"b-1", "b-2"})
    instance.AddMember(name, "b");
  const Effects evacuated = instance.ReceiveEvacuations({"b"}, 20);
  CHECK(Receivers(evacuated, false) == Strings{"a-1", "a-2", "a-3"});
  CHECK(Receivers(evacuated, true) == Strings{"b-1", "b-2"});
  // What a relay gets goes on to its own domain, once.
  const Effects relayed = instance.ReceiveGossip({}, 21, true);
  CHECK(Receivers(relayed, false).size() >= 3);
  const Effects again = instance.ReceiveGossip({}, 21, true);
  CHECK(Receivers(again, false).empty());
  // A confirmation without a change is not worth a datagram.
  CHECK(Receivers(instance.ReceiveEvacuations({}, 30), false).empty());
}

// Guards against a peer that was out of touch and learns of the evacuation only when it gossips with another instance.
TEST_CASE("a peer that states an older set that differs is told the newer one at once") {
  ServingInstance instance;
  instance.AddMember("peer", "b");
  instance.ReceiveEvacuations({"a"}, 20);
  instance.Advance(Millis(100));
  const Effects effects = instance.ReceiveGossip({}, 5);
  bool told = false;
  for (const Effect::SendGossip& sent : SingleInstance::EffectsOfType<Effect::SendGossip>(effects))
    told = told || (sent.peer_address == "p" && sent.message->evacuations.failure_domains == Strings{"a"});
  CHECK(told);
}

// Guards against an evacuation or its end that operators cannot find in the logs, or find with each confirmation.
TEST_CASE("each start and end of an evacuation gives one log record") {
  ServingInstance instance;
  const auto records = [](const Effects& effects) {
    std::vector<std::pair<LogRecord::Kind, std::string>> found;
    for (const Effect::WriteLogRecord& effect : SingleInstance::EffectsOfType<Effect::WriteLogRecord>(effects)) {
      if (effect.record.kind == LogRecord::Kind::kDomainEvacuated ||
          effect.record.kind == LogRecord::Kind::kEvacuationEnded)
        found.emplace_back(effect.record.kind, effect.record.subject);
    }
    return found;
  };
  using Records = std::vector<std::pair<LogRecord::Kind, std::string>>;
  CHECK(records(instance.ReceiveEvacuations({"a"}, 20)) == Records{{LogRecord::Kind::kDomainEvacuated, "a"}});
  CHECK(records(instance.ReceiveEvacuations({"a"}, 21)).empty());
  CHECK(records(instance.ReceiveEvacuations({"b"}, 22)) ==
        Records{{LogRecord::Kind::kDomainEvacuated, "b"}, {LogRecord::Kind::kEvacuationEnded, "a"}});
}

// Guards against an evacuation that is not in force on every instance, or lost, when another failure domain goes down
// with its watcher, the relays and the store.
TEST_CASE("an evacuation beside the loss of another failure domain and of the store") {
  PlatformFleetSimulation simulation(11);
  simulation.SetEvacuated("a", true);
  simulation.Advance(Millis(300));
  // Instances 1 and 3 are those of failure domain "b".
  simulation.Kill(1);
  simulation.Kill(3);
  simulation.TakeStoreDown(PlatformFleetSimulation::StoreMode::kSilent, false);
  simulation.Advance(Millis(5'000));
  for (const size_t i : {0u, 2u, 4u})
    CHECK(simulation.StateOf(i).EvacuatedDomains() == Strings{"a"});
  // The lost instances come back while the store is still away: their peers tell them.
  simulation.Restart(1);
  simulation.Restart(3);
  for (int step = 0; step < 100; ++step) {
    for (size_t i = 0; i < PlatformFleetSimulation::kInstances; ++i)
      simulation.SendCall(i, step % 2 == 0);
    simulation.Advance(Millis(50));
  }
  CHECK(simulation.StateOf(1).EvacuatedDomains() == Strings{"a"});
  CHECK(simulation.StateOf(3).EvacuatedDomains() == Strings{"a"});
  CHECK(simulation.AnsweredCount() > 0);
  simulation.RecoverAndCheck();
  CHECK(simulation.FirstViolation() == std::string());
}

// Guards against an evacuation that stays in force on some instance after the operator has taken it back, also when its
// endpoints are in warm-up by then.
TEST_CASE("an evacuation taken back while the endpoints of the domain are in warm-up") {
  PlatformFleetSimulation simulation(12);
  simulation.SetEvacuated("a", true);
  simulation.Advance(Millis(6'000));
  for (size_t address = 0; address < PlatformFleetSimulation::kAddresses; address += 2)
    simulation.StartWarmup(address);
  simulation.Advance(Millis(1'000));
  simulation.SetEvacuated("a", false);
  for (int step = 0; step < 160; ++step) {
    for (size_t i = 0; i < PlatformFleetSimulation::kInstances; ++i)
      simulation.SendCall(i, step % 2 == 0);
    simulation.Advance(Millis(50));
    if (step == 99) {
      for (size_t i = 0; i < PlatformFleetSimulation::kInstances; ++i)
        CHECK(simulation.StateOf(i).EvacuatedDomains().empty());
    }
  }
  simulation.RecoverAndCheck();
  CHECK(simulation.FirstViolation() == std::string());
}

// Guards against an evacuation lost with a store that is restored from a copy of before it, and against one kept for
// good that the restored store does not hold any more.
TEST_CASE("a restored store beside an evacuation") {
  PlatformFleetSimulation simulation(13);
  simulation.SetEvacuated("a", true);
  simulation.Advance(Millis(2'000));
  simulation.TakeStoreDown(PlatformFleetSimulation::StoreMode::kRefuses, false);
  simulation.Advance(Millis(1'000));
  simulation.SetReadLag(Millis(3'000));
  simulation.RestoreStore(Millis(3'500));
  simulation.Restart(2);
  simulation.Advance(Millis(6'000));
  for (size_t i = 0; i < PlatformFleetSimulation::kInstances; ++i)
    CHECK(simulation.StateOf(i).EvacuatedDomains() == Strings{"a"});
  simulation.SetEvacuated("a", false);
  simulation.Advance(Millis(5'000));
  for (size_t i = 0; i < PlatformFleetSimulation::kInstances; ++i)
    CHECK(simulation.StateOf(i).EvacuatedDomains().empty());
  simulation.RecoverAndCheck();
  CHECK(simulation.FirstViolation() == std::string());
}

}  // namespace
}  // namespace sassafras
