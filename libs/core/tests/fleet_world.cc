#include "fleet_world.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "core/reducer.h"
#include "core/state_options.h"

namespace sassafras {
namespace {

using Millis = FleetWorld::Millis;

/** Bounds of the users' pages. */
constexpr Millis kDrainLimit{2'000};
constexpr Millis kConfigLimit{2'000};
constexpr Millis kCalm{3'000};
constexpr Millis kReuseAfter{2'000};
constexpr Millis kEntryLease{4'500};
constexpr Millis kLapsedBack{1'500};
/** How long a draining endpoint goes on serving. */
constexpr Millis kServesOn{2'600};

}  // namespace

FleetWorld::FleetWorld(uint64_t seed)
    : m_random(seed), m_now(std::chrono::hours(1)), m_store(m_now), m_acknowledged(2, m_now) {
  for (size_t address = 0; address < kAddresses - 2; ++address)
    Occupy(address, address % 2 == 1);
  for (size_t i = 0; i < kInstances; ++i)
    Start(i);
  Advance(Millis(8'000));
}

FleetWorld::~FleetWorld() = default;

void FleetWorld::Start(size_t index) {
  StateOptions options;
  options.self.name = fmt::format("i{}", index);
  options.self.failure_domain = index % 2 == 0 ? "a" : "b";
  options.self.address = fmt::format("c{}", index);
  options.self.peer_address = fmt::format("p{}", index);
  options.self.incarnation = ++m_next_incarnation;
  options.random_seed = m_random();
  options.start = m_now;
  options.address_ttl = Millis(500);
  options.linger_limit = Millis(1'500);
  options.gossip_period = Millis(500);
  options.retry_slack = 64.0;
  options.discovery = true;
  options.ask_first = true;
  options.probing = false;
  options.seed_peers = {"p0", "p1", "p2"};
  Instance& instance = m_instances[index];
  const bool cut = instance.cut;
  const StoreMode mode = instance.store_mode;
  instance = Instance();
  instance.cut = cut;
  instance.store_mode = mode;
  instance.incarnation = options.self.incarnation;
  instance.state = std::make_unique<State>(options);
  instance.next_tick = m_now;
  instance.calm_since = m_now;
  m_generations[index] = 0;
}

void FleetWorld::After(Duration delay, std::function<void()> act) {
  m_later.push({m_now + delay, ++m_order, std::move(act)});
}

Duration FleetWorld::NetworkDelay() {
  return Millis(1) + std::chrono::microseconds(static_cast<int64_t>(m_random() % 4'000));
}

void FleetWorld::Advance(Millis time) {
  const TimePoint end = m_now + time;
  while (m_now < end) {
    TimePoint next = end;
    for (const Instance& instance : m_instances) {
      if (instance.state != nullptr && !instance.frozen)
        next = std::min(next, instance.next_tick);
    }
    if (!m_later.empty())
      next = std::min(next, m_later.top().at);
    m_now = std::max(m_now, next);
    while (!m_later.empty() && m_later.top().at <= m_now) {
      const std::function<void()> act = m_later.top().act;
      m_later.pop();
      act();
    }
    for (size_t i = 0; i < kInstances; ++i) {
      Instance& instance = m_instances[i];
      if (instance.state == nullptr || instance.frozen || instance.next_tick > m_now)
        continue;
      React(i, Event::Tick{m_now});
      if (instance.state != nullptr)
        instance.next_tick = std::max(m_now + Millis(1), instance.state->NextTick(m_now));
    }
  }
  CheckGenerations();
}

void FleetWorld::Deliver(size_t index, uint64_t incarnation, std::function<Event::Any()> make) {
  Instance& instance = m_instances[index];
  if (instance.state == nullptr || instance.incarnation != incarnation)
    return;
  if (instance.frozen)
    instance.held.push_back(std::move(make));
  else
    React(index, make());
}

void FleetWorld::React(size_t index, const Event::Any& event) {
  Instance& instance = m_instances[index];
  Effects effects;
  Reduce(*instance.state, event, effects);
  for (const Effect::Any& effect : effects)
    std::visit([&](const auto& kind) { On(index, kind); }, effect);
  if (instance.state != nullptr)
    instance.next_tick = std::min(instance.next_tick, std::max(m_now + Millis(1), instance.state->NextTick(m_now)));
}

size_t FleetWorld::Call(size_t index, bool repeat_safe) {
  const size_t number = m_calls.size();
  CallRecord call;
  call.repeat_safe = repeat_safe;
  call.instance = index;
  call.incarnation = m_instances[index].incarnation;
  call.ticket = ++m_last_ticket;
  call.sent_at = m_now;
  m_by_ticket[{index, call.ticket}] = number;
  m_calls.push_back(call);
  Event::CallArrived event;
  event.ticket = call.ticket;
  event.fingerprint = number + 1;
  event.time_left = kDeadline;
  Deliver(index, call.incarnation, [this, event, index, repeat_safe]() mutable -> Event::Any {
    event.now = m_now;
    event.plan = m_instances[index].state->FindPlan("", repeat_safe ? "GET" : "POST", "/");
    return event;
  });
  return number;
}

void FleetWorld::HangUp(size_t number) {
  CallRecord& call = m_calls[number];
  if (call.told || call.hung_up)
    return;
  call.hung_up = true;
  Deliver(call.instance, call.incarnation, [this, number]() -> Event::Any {
    return Event::CallerGone{m_now, m_calls[number].handle};
  });
}

void FleetWorld::Freeze(size_t instance) {
  m_instances[instance].frozen = true;
  Disturb(instance);
}

void FleetWorld::Thaw(size_t index) {
  Instance& instance = m_instances[index];
  instance.frozen = false;
  Disturb(index);
  const auto held = std::exchange(instance.held, {});
  for (const auto& make : held)
    React(index, make());
  instance.next_tick = m_now;
}

void FleetWorld::Kill(size_t index) {
  Instance& instance = m_instances[index];
  // Callers see their connections break and know nothing.
  for (CallRecord& call : m_calls) {
    if (call.instance == index && call.incarnation == instance.incarnation)
      call.told = true;
  }
  instance.state.reset();
  instance.frozen = false;
  instance.held.clear();
}

void FleetWorld::Restart(size_t index) {
  if (m_instances[index].state != nullptr)
    Kill(index);
  Start(index);
}

void FleetWorld::StopGracefully(size_t index) {
  Disturb(index);
  Deliver(index, m_instances[index].incarnation, [this]() -> Event::Any { return Event::StopRequested{m_now}; });
}

void FleetWorld::SetCut(size_t instance, bool cut) {
  m_instances[instance].cut = cut;
  // Peers that rely on it are disturbed as well: for a while nobody reads the store in its place.
  m_gossip_calm_since = m_now;
  Disturb(instance);
}

void FleetWorld::SetStoreMode(size_t instance, StoreMode mode) {
  m_instances[instance].store_mode = mode;
  m_store_calm_since = m_now;
}

void FleetWorld::TakeStoreDown(StoreMode mode, bool lapse) {
  m_store_down = true;
  m_store_calm_since = m_now;
  for (Instance& instance : m_instances)
    instance.store_mode = mode;
  if (!lapse)
    return;
  After(kEntryLease, [this] {
    for (size_t address = 0; address < kAddresses && m_store_down; ++address) {
      if (!m_endpoints[address].up || m_endpoints[address].draining)
        continue;
      m_store.Remove(m_endpoints[address].name, m_now);
      m_lapsed.push_back(address);
    }
  });
}

void FleetWorld::BringStoreBack() {
  m_store_down = false;
  m_store_calm_since = m_now;
  for (Instance& instance : m_instances)
    instance.store_mode = StoreMode::kAnswers;
  for (const size_t address : std::exchange(m_lapsed, {})) {
    After(Millis(static_cast<int64_t>(m_random() % kLapsedBack.count())), [this, address] {
      if (m_endpoints[address].up)
        PutEntry(address);
    });
  }
}

void FleetWorld::MoveRoute() {
  if (m_store_down)
    return;
  m_store.NextGeneration(m_now);
  m_acknowledged.push_back(m_now);
}

void FleetWorld::PutEntry(size_t address) {
  const FakeEndpoint& endpoint = m_endpoints[address];
  EndpointChange entry;
  entry.kind = endpoint.draining ? EndpointChange::Kind::kLeaving : EndpointChange::Kind::kServing;
  entry.row = {endpoint.name,
               endpoint.other_service ? "t" : "s",
               fmt::format("a{}", address),
               address % 2 == 0 ? "a" : "b",
               6,
               0};
  entry.incarnation = endpoint.born;
  m_store.Put(std::move(entry), m_now);
}

void FleetWorld::Drain(size_t address) {
  FakeEndpoint& endpoint = m_endpoints[address];
  if (!endpoint.up || endpoint.draining || m_store_down)
    return;
  endpoint.draining = true;
  endpoint.left_at = m_now;
  PutEntry(address);
  After(kServesOn, [this, address, name = endpoint.name] {
    FakeEndpoint& leaving = m_endpoints[address];
    if (leaving.name != name)
      return;
    leaving.up = false;
    leaving.free_at = m_now + kReuseAfter;
    m_store.Remove(name, m_now);
  });
}

void FleetWorld::Crash(size_t address) {
  FakeEndpoint& endpoint = m_endpoints[address];
  if (!endpoint.up)
    return;
  endpoint.up = false;
  endpoint.free_at = m_now + kEntryLease + kReuseAfter;
  After(kEntryLease, [this, name = endpoint.name] { m_store.Remove(name, m_now); });
}

void FleetWorld::Occupy(size_t address, bool other_service) {
  FakeEndpoint& endpoint = m_endpoints[address];
  if (endpoint.up || m_now < endpoint.free_at || m_store_down)
    return;
  endpoint = FakeEndpoint();
  endpoint.name = fmt::format("e{}", ++m_next_name);
  endpoint.other_service = other_service;
  endpoint.up = true;
  endpoint.born = ++m_next_incarnation;
  PutEntry(address);
}

void FleetWorld::Reborn(size_t address) {
  FakeEndpoint& endpoint = m_endpoints[address];
  if (!endpoint.up || endpoint.draining || m_store_down)
    return;
  endpoint.born = ++m_next_incarnation;
  endpoint.running = 0;
  PutEntry(address);
}

void FleetWorld::WriteDamagedEntry() {
  EndpointChange damaged;
  damaged.kind = EndpointChange::Kind::kGone;
  damaged.row.name = "somebody-else";
  if (!m_store_down)
    m_store.Put(damaged, m_now);
}

int FleetWorld::InstanceByPeerAddress(const std::string& address) const {
  for (size_t i = 0; i < kInstances; ++i) {
    if (address == fmt::format("p{}", i))
      return static_cast<int>(i);
  }
  return -1;
}

bool FleetWorld::WasInTouch(size_t index) const {
  const Instance& instance = m_instances[index];
  const TimePoint calm = std::max({instance.calm_since, m_store_calm_since, m_gossip_calm_since});
  const bool all_reach = std::all_of(m_instances.begin(), m_instances.end(), [](const Instance& other) {
    return other.store_mode == StoreMode::kAnswers && !other.cut;
  });
  return instance.state != nullptr && !instance.frozen && all_reach && m_drop_rate == 0.0 && m_now - calm >= kCalm;
}

void FleetWorld::Violate(const std::string& what) {
  if (m_violation.empty())
    m_violation = fmt::format("{} ms: {}", std::chrono::duration_cast<Millis>(m_now.time_since_epoch()).count(), what);
}

void FleetWorld::CheckRun(const FakeEndpoint& endpoint, const CallRecord& call) {
  if (!call.repeat_safe && call.runs > 1)
    Violate(fmt::format("a call that must not be repeated ran {} times", call.runs));
  if (call.refused.has_value() && InfoOf(*call.refused).outcome == Outcome::kNotRun)
    Violate(fmt::format("a call ran after it was told 'not run' ({})", InfoOf(*call.refused).name));
  const bool late = endpoint.left_at.has_value() && call.sent_at > *endpoint.left_at + kDrainLimit;
  if (late && WasInTouch(call.instance))
    Violate(fmt::format("{} got a call from i{} long after it began to leave", endpoint.name, call.instance));
}

void FleetWorld::CheckGenerations() {
  for (size_t i = 0; i < kInstances; ++i) {
    const Instance& instance = m_instances[i];
    if (instance.state == nullptr)
      continue;
    const uint64_t generation = instance.state->Generation();
    if (generation < m_generations[i])
      Violate(fmt::format("i{} went back from generation {} to {}", i, m_generations[i], generation));
    m_generations[i] = generation;
    const bool serving = instance.state->CurrentPhase() == Phase::kServing;
    const bool outdated =
        generation + 1 < m_acknowledged.size() && m_now > m_acknowledged[generation + 1] + kConfigLimit;
    if (serving && outdated && WasInTouch(i))
      Violate(fmt::format("i{} still has generation {} of {}", i, generation, m_acknowledged.size() - 1));
  }
}

void FleetWorld::Settle() {
  if (m_store_down)
    BringStoreBack();
  m_drop_rate = 0.0;
  m_lag = Millis(0);
  for (size_t i = 0; i < kInstances; ++i) {
    SetCut(i, false);
    SetStoreMode(i, StoreMode::kAnswers);
    if (m_instances[i].frozen)
      Thaw(i);
  }
  Advance(Millis(12'000));
  for (size_t i = 0; i < kInstances; ++i) {
    const Instance& instance = m_instances[i];
    if (instance.state == nullptr || instance.state->CurrentPhase() != Phase::kServing)
      continue;
    if (instance.state->Generation() != m_store.Latest().generation)
      Violate(fmt::format("i{} has generation {}, the store {}", i, instance.state->Generation(),
                          m_store.Latest().generation));
    if (instance.state->CallsInProgress() > 0)
      Violate(fmt::format("i{} holds calls that never ended", i));
    std::map<std::string, bool> known;
    for (const EndpointChange& endpoint : instance.state->KnownEndpoints())
      known[endpoint.row.name] = endpoint.kind == EndpointChange::Kind::kLeaving;
    std::map<std::string, bool> listed;
    for (const auto& [name, endpoint] : m_store.Latest().endpoints) {
      if (endpoint.kind != EndpointChange::Kind::kGone)
        listed[name] = endpoint.kind == EndpointChange::Kind::kLeaving;
    }
    if (known != listed)
      Violate(fmt::format("i{} knows {} endpoints, the store lists {}", i, known.size(), listed.size()));
  }
  for (size_t number = 0; number < m_calls.size(); ++number) {
    const CallRecord& call = m_calls[number];
    if (!call.told && !call.hung_up)
      Violate(fmt::format("call {} was never answered", number));
  }
}

size_t FleetWorld::AnsweredCount() const {
  return static_cast<size_t>(
      std::count_if(m_calls.begin(), m_calls.end(), [](const CallRecord& call) { return call.answered; }));
}

}  // namespace sassafras
