#include "world.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "core/reducer.h"
#include "core/state_options.h"
#include "world_setup.h"

namespace sassafras {
World::World(uint64_t seed) : m_random(seed), m_now(std::chrono::hours(1)) {
  m_lists = std::make_shared<const Lists>(MakeWorldLists());
  for (size_t i = 0; i < kInstances; ++i)
    Start(i);
  Advance(Millis(1'500));
}

World::~World() = default;

void World::Start(size_t index) {
  Instance& instance = m_instances[index];
  StateOptions options;
  options.self.name = fmt::format("i{}", index);
  options.self.failure_domain = index % 2 == 0 ? "a" : "b";
  options.self.address = fmt::format("c{}", index);
  options.self.peer_address = PeerAddress(index);
  options.self.incarnation = ++m_next_incarnation;
  options.random_seed = m_random();
  options.start = m_now;
  options.address_ttl = Millis(500);
  for (size_t peer = 0; peer < kInstances; ++peer) {
    if (peer != index)
      options.seed_peers.push_back(PeerAddress(peer));
  }
  instance = Instance();
  instance.incarnation = options.self.incarnation;
  instance.state = std::make_unique<State>(options);
  instance.next_tick = m_now;
  instance.joined_at = m_now;
  m_generations[index] = 0;
}

void World::After(Duration delay, std::function<void()> act) {
  m_later.push({m_now + delay, ++m_order, std::move(act)});
}

Duration World::RandomDelay(Millis low, Millis high) {
  const auto span = static_cast<uint64_t>(Duration(high - low).count()) + 1;
  return Duration(low) + Duration(static_cast<Duration::rep>(m_random() % span));
}

void World::Advance(Millis time) {
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
      instance.next_tick = m_now + kTickPeriod;
      React(i, Event::Tick{m_now});
    }
  }
  CheckGenerations();
}

void World::Deliver(size_t index, uint64_t incarnation, std::function<Event::Any()> make) {
  Instance& instance = m_instances[index];
  if (instance.state == nullptr || instance.incarnation != incarnation)
    return;
  if (instance.frozen)
    instance.held.push_back(std::move(make));
  else
    React(index, make());
}

void World::React(size_t index, const Event::Any& event) {
  Instance& instance = m_instances[index];
  Effects effects;
  Reduce(*instance.state, event, effects);
  for (const Effect::Any& effect : effects)
    std::visit([&](const auto& kind) { On(index, kind); }, effect);
}

size_t World::Call(size_t instance, bool repeat_safe, bool poison) {
  Record call;
  call.repeat_safe = repeat_safe;
  call.poison = poison;
  const Member& owner = m_instances[instance].state->Self();
  call.owner = owner.name;
  call.owner_incarnation = owner.incarnation;
  call.owner_epoch = owner.epoch;
  m_calls.push_back(call);
  SendTo(m_calls.size() - 1, instance);
  return m_calls.size() - 1;
}

void World::Resend(size_t call, size_t instance) {
  SendTo(call, instance);
}

void World::SendTo(size_t call_index, size_t index) {
  // A closed listener refuses the connection: nothing is sent.
  const Instance& target = m_instances[index];
  if (target.state == nullptr || target.state->CurrentPhase() == Phase::kClosing)
    return;
  Record& call = m_calls[call_index];
  Send send;
  send.call = call_index;
  send.instance = index;
  send.incarnation = m_instances[index].incarnation;
  send.ticket = ++m_last_ticket;
  send.sent_at = m_now;
  m_by_ticket[{index, send.ticket}] = m_sends.size();
  call.sends.push_back(m_sends.size());
  m_sends.push_back(send);
  Event::CallArrived event;
  event.ticket = send.ticket;
  event.fingerprint = call_index + 1;
  if (!call.repeat_safe) {
    event.idempotency.present = true;
    event.idempotency.key_low = call_index + 1;
    event.idempotency.owner = call.owner;
    event.idempotency.owner_incarnation = call.owner_incarnation;
    event.idempotency.owner_epoch = call.owner_epoch;
  }
  const bool safe = call.repeat_safe;
  Deliver(index, send.incarnation, [this, event, index, safe]() mutable -> Event::Any {
    event.now = m_now;
    event.plan = m_instances[index].state->FindPlan("", safe ? "GET" : "POST", "/");
    return event;
  });
}

void World::HangUp(size_t call) {
  if (m_calls[call].sends.empty())
    return;
  Send& send = m_sends[m_calls[call].sends.back()];
  if (send.told || send.hung_up)
    return;
  send.hung_up = true;
  const size_t index = m_calls[call].sends.back();
  Deliver(send.instance, send.incarnation, [this, index]() -> Event::Any {
    return Event::CallerGone{m_now, m_sends[index].handle};
  });
}

void World::Freeze(size_t instance) {
  m_instances[instance].frozen = true;
}

void World::Thaw(size_t index) {
  Instance& instance = m_instances[index];
  instance.frozen = false;
  instance.joined_at = m_now;
  const auto held = std::exchange(instance.held, {});
  for (const auto& make : held)
    React(index, make());
  instance.next_tick = m_now;
}

void World::Kill(size_t index) {
  Instance& instance = m_instances[index];
  // Callers see their connections break and know nothing.
  for (Send& send : m_sends) {
    if (send.instance == index && send.incarnation == instance.incarnation)
      send.told = true;
  }
  instance.state.reset();
  instance.frozen = false;
  instance.held.clear();
}

void World::Restart(size_t index) {
  if (m_instances[index].state != nullptr)
    Kill(index);
  Start(index);
}

void World::StopGracefully(size_t index) {
  Deliver(index, m_instances[index].incarnation, [this]() -> Event::Any { return Event::StopRequested{m_now}; });
}

void World::RollBackStore() {
  if (m_store_generation > 1)
    --m_store_generation;
}

void World::SetCut(size_t instance, bool cut) {
  if (m_instances[instance].cut && !cut)
    m_instances[instance].joined_at = m_now;
  m_instances[instance].cut = cut;
}

void World::ApplyLists() {
  if (!m_platform_up || m_store_generation != m_accepted_generation)
    return;
  m_accepted_generation = ++m_store_generation;
}

void World::Drain(size_t endpoint) {
  m_endpoints[endpoint].draining = true;
}

void World::RestartEndpoint(size_t endpoint) {
  FakeEndpoint& fake = m_endpoints[endpoint];
  fake.up = true;
  fake.draining = false;
  fake.signs.clear();
  fake.running = 0;
  fake.incarnation = ++m_next_incarnation;
}

size_t World::EndpointIndex(size_t instance, EndpointHandle handle) const {
  return static_cast<size_t>(m_instances[instance].state->EndpointRow(handle).name.back() - '0');
}

int World::InstanceByPeerAddress(const std::string& address) const {
  for (size_t i = 0; i < kInstances; ++i) {
    if (PeerAddress(i) == address)
      return static_cast<int>(i);
  }
  return -1;
}

LoadReport World::ReportOf(const FakeEndpoint& endpoint) const {
  LoadReport load;
  load.present = true;
  load.in_flight = static_cast<uint32_t>(endpoint.running);
  load.incarnation = endpoint.incarnation;
  load.draining = endpoint.draining;
  return load;
}

void World::Violate(const std::string& what) {
  if (m_violation.empty())
    m_violation = fmt::format("{} ms: {}", std::chrono::duration_cast<Millis>(m_now.time_since_epoch()).count(), what);
}

void World::CheckSend(const Send& send) {
  const bool told_not_run = send.told && send.outcome == Outcome::kNotRun;
  if (told_not_run && send.runs > 0)
    Violate(fmt::format("call {} was told 'not run' ({}) and ran", send.call, InfoOf(*send.reason).name));
}

bool World::WasInTouch(size_t index, TimePoint time) const {
  const Instance& instance = m_instances[index];
  return instance.state != nullptr && !instance.frozen && !instance.cut && instance.joined_at <= time;
}

void World::CheckLeaving(size_t endpoint, size_t sender) {
  for (const Sign& sign : m_endpoints[endpoint].signs) {
    const bool same = m_instances[sign.instance].incarnation == sign.incarnation;
    const bool spread = m_now - sign.at > kLeaveLimit && same && WasInTouch(sign.instance, sign.at);
    if (spread && WasInTouch(sender, sign.at) && m_drop_rate == 0.0)
      Violate(fmt::format("e{} got a request from i{} long after it began to leave", endpoint, sender));
  }
}

void World::CheckProbes(size_t endpoint) {
  const std::vector<TimePoint>& probes = m_endpoints[endpoint].probes;
  const auto first = std::lower_bound(probes.begin(), probes.end(), m_now - kProbeWindow + Duration(1));
  const auto count = static_cast<double>(probes.end() - first);
  if (count > kProbeBudget * 10.0)
    Violate(fmt::format("e{} got {} probes within 10 s", endpoint, count));
}

void World::CheckGenerations() {
  for (size_t i = 0; i < kInstances; ++i) {
    if (m_instances[i].state == nullptr)
      continue;
    const uint64_t generation = m_instances[i].state->Generation();
    if (generation < m_generations[i])
      Violate(fmt::format("i{} went back from generation {} to {}", i, m_generations[i], generation));
    m_generations[i] = generation;
  }
}

void World::Settle() {
  m_platform_up = true;
  m_drop_rate = 0.0;
  for (size_t i = 0; i < kInstances; ++i) {
    SetCut(i, false);
    if (m_instances[i].frozen)
      Thaw(i);
  }
  const bool any_up = std::any_of(m_instances.begin(), m_instances.end(),
                                  [](const Instance& instance) { return instance.state != nullptr; });
  Advance(Millis(15'000));
  for (size_t i = 0; i < kInstances; ++i) {
    if (m_instances[i].state == nullptr || m_instances[i].state->CurrentPhase() != Phase::kServing)
      continue;
    const uint64_t generation = m_instances[i].state->Generation();
    if (generation < m_store_generation)
      Violate(fmt::format("i{} is at generation {}, the store at {}", i, generation, m_store_generation));
    if (m_instances[i].state->CallsInProgress() > 0)
      Violate(fmt::format("i{} holds calls that never ended", i));
  }
  if (any_up && m_store_generation < m_generations[0] && m_instances[0].state != nullptr)
    Violate("the store was not brought back to the generation in force");
  for (size_t i = 0; i < m_sends.size(); ++i) {
    if (!m_sends[i].told && !m_sends[i].hung_up)
      Violate(fmt::format("send {} of call {} was never answered", i, m_sends[i].call));
    CheckSend(m_sends[i]);
  }
}

size_t World::RunCount(size_t call) const {
  return m_calls[call].runs;
}

size_t World::RequestsWhileLeaving(size_t endpoint, size_t instance) const {
  return m_endpoints[endpoint].late_requests[instance];
}

size_t World::AnsweredCount() const {
  return static_cast<size_t>(
      std::count_if(m_sends.begin(), m_sends.end(), [](const Send& send) { return send.answered; }));
}

}  // namespace sassafras
