#include "static_fleet_simulation.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "core/reducer.h"
#include "core/state_options.h"
#include "static_fleet_setup.h"

namespace sassafras {
StaticFleetSimulation::StaticFleetSimulation(uint64_t seed) : m_random(seed), m_now(std::chrono::hours(1)) {
  m_lists = std::make_shared<const Lists>(MakeSimulationLists());
  for (size_t i = 0; i < kInstances; ++i)
    StartInstance(i);
  Advance(Millis(1'500));
}

StaticFleetSimulation::~StaticFleetSimulation() = default;

void StaticFleetSimulation::StartInstance(size_t index) {
  Instance& instance = m_instances[index];
  StateOptions options;
  options.self.name = fmt::format("i{}", index);
  options.self.failure_domain = index % 2 == 0 ? "a" : "b";
  options.self.address = fmt::format("c{}", index);
  options.self.peer_address = PeerAddress(index);
  options.self.incarnation = ++m_last_incarnation;
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
  instance.connected_since = m_now;
  m_last_generations[index] = 0;
}

void StaticFleetSimulation::RunAfter(Duration delay, std::function<void()> action) {
  m_scheduled.push({m_now + delay, ++m_last_sequence, std::move(action)});
}

Duration StaticFleetSimulation::RandomDelay(Millis low, Millis high) {
  const auto span = static_cast<uint64_t>(Duration(high - low).count()) + 1;
  return Duration(low) + Duration(static_cast<Duration::rep>(m_random() % span));
}

void StaticFleetSimulation::Advance(Millis time) {
  const TimePoint end = m_now + time;
  while (m_now < end) {
    TimePoint next = end;
    for (const Instance& instance : m_instances) {
      if (instance.state != nullptr && !instance.paused)
        next = std::min(next, instance.next_tick);
    }
    if (!m_scheduled.empty())
      next = std::min(next, m_scheduled.top().at);
    m_now = std::max(m_now, next);
    while (!m_scheduled.empty() && m_scheduled.top().at <= m_now) {
      const std::function<void()> action = m_scheduled.top().action;
      m_scheduled.pop();
      action();
    }
    for (size_t i = 0; i < kInstances; ++i) {
      Instance& instance = m_instances[i];
      if (instance.state == nullptr || instance.paused || instance.next_tick > m_now)
        continue;
      instance.next_tick = m_now + kBusyTickPeriod;
      HandleEvent(i, Event::Tick{m_now});
    }
  }
  CheckGenerations();
}

void StaticFleetSimulation::DeliverEvent(size_t index, uint64_t incarnation, std::function<Event::Any()> make_event) {
  Instance& instance = m_instances[index];
  if (instance.state == nullptr || instance.incarnation != incarnation)
    return;
  if (instance.paused)
    instance.deferred_events.push_back(std::move(make_event));
  else
    HandleEvent(index, make_event());
}

void StaticFleetSimulation::HandleEvent(size_t index, const Event::Any& event) {
  Instance& instance = m_instances[index];
  Effects effects;
  Reduce(*instance.state, event, effects);
  m_effects_digest.Add(index, effects);
  for (const Effect::Any& effect : effects)
    std::visit([&](const auto& kind) { HandleEffect(index, kind); }, effect);
}

size_t StaticFleetSimulation::SendCall(size_t instance, bool repeat_safe, bool poison) {
  LogicalCall call;
  call.repeat_safe = repeat_safe;
  call.poison = poison;
  const Member& owner = m_instances[instance].state->Self();
  call.owner = owner.name;
  call.owner_incarnation = owner.incarnation;
  call.owner_epoch = owner.epoch;
  m_calls.push_back(call);
  SendToInstance(m_calls.size() - 1, instance);
  return m_calls.size() - 1;
}

void StaticFleetSimulation::Resend(size_t call, size_t instance) {
  SendToInstance(call, instance);
}

void StaticFleetSimulation::SendToInstance(size_t call_index, size_t index) {
  // An instance that is down, or has closed its listener, refuses the connection: nothing is sent.
  const Instance& target = m_instances[index];
  if (target.state == nullptr || target.state->CurrentPhase() == Phase::kClosing)
    return;
  LogicalCall& call = m_calls[call_index];
  Send send;
  send.call = call_index;
  send.instance = index;
  send.incarnation = m_instances[index].incarnation;
  send.ticket = ++m_last_ticket;
  send.sent_at = m_now;
  m_sends_by_ticket[{index, send.ticket}] = m_sends.size();
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
  const bool repeat_safe = call.repeat_safe;
  DeliverEvent(index, send.incarnation, [this, event, index, repeat_safe]() mutable -> Event::Any {
    event.now = m_now;
    event.plan = m_instances[index].state->FindPlan("", repeat_safe ? "GET" : "POST", "/");
    return event;
  });
}

void StaticFleetSimulation::DisconnectCaller(size_t call) {
  if (m_calls[call].sends.empty())
    return;
  Send& send = m_sends[m_calls[call].sends.back()];
  if (send.completed || send.caller_disconnected)
    return;
  send.caller_disconnected = true;
  const size_t index = m_calls[call].sends.back();
  DeliverEvent(send.instance, send.incarnation, [this, index]() -> Event::Any {
    return Event::CallerGone{m_now, m_sends[index].handle};
  });
}

void StaticFleetSimulation::Pause(size_t instance) {
  m_instances[instance].paused = true;
}

void StaticFleetSimulation::Resume(size_t index) {
  Instance& instance = m_instances[index];
  instance.paused = false;
  instance.connected_since = m_now;
  const auto deferred_events = std::exchange(instance.deferred_events, {});
  for (const auto& make_event : deferred_events)
    HandleEvent(index, make_event());
  instance.next_tick = m_now;
}

void StaticFleetSimulation::Kill(size_t index) {
  Instance& instance = m_instances[index];
  // Callers see their connections break and do not learn the outcome.
  for (Send& send : m_sends) {
    if (send.instance == index && send.incarnation == instance.incarnation)
      send.completed = true;
  }
  instance.state.reset();
  instance.paused = false;
  instance.deferred_events.clear();
}

void StaticFleetSimulation::Restart(size_t index) {
  if (m_instances[index].state != nullptr)
    Kill(index);
  StartInstance(index);
}

void StaticFleetSimulation::StopGracefully(size_t index) {
  DeliverEvent(index, m_instances[index].incarnation, [this]() -> Event::Any { return Event::StopRequested{m_now}; });
}

void StaticFleetSimulation::RollBackStore() {
  if (m_store_generation > 1)
    --m_store_generation;
}

void StaticFleetSimulation::SetIsolated(size_t instance, bool isolated) {
  if (m_instances[instance].isolated && !isolated)
    m_instances[instance].connected_since = m_now;
  m_instances[instance].isolated = isolated;
}

void StaticFleetSimulation::PublishLists() {
  if (!m_platform_available || m_store_generation != m_accepted_generation)
    return;
  m_accepted_generation = ++m_store_generation;
}

void StaticFleetSimulation::Drain(size_t endpoint) {
  m_endpoints[endpoint].draining = true;
}

void StaticFleetSimulation::RestartEndpoint(size_t endpoint) {
  FakeEndpoint& fake_endpoint = m_endpoints[endpoint];
  fake_endpoint.up = true;
  fake_endpoint.draining = false;
  fake_endpoint.drain_notices.clear();
  fake_endpoint.requests_running = 0;
  fake_endpoint.incarnation = ++m_last_incarnation;
}

size_t StaticFleetSimulation::EndpointIndex(size_t instance, EndpointHandle handle) const {
  return static_cast<size_t>(m_instances[instance].state->EndpointConfig(handle).name.back() - '0');
}

int StaticFleetSimulation::InstanceByPeerAddress(const std::string& address) const {
  for (size_t i = 0; i < kInstances; ++i) {
    if (PeerAddress(i) == address)
      return static_cast<int>(i);
  }
  return -1;
}

LoadReport StaticFleetSimulation::MakeLoadReport(const FakeEndpoint& endpoint) const {
  LoadReport load;
  load.present = true;
  load.in_flight = static_cast<uint32_t>(endpoint.requests_running);
  load.incarnation = endpoint.incarnation;
  load.draining = endpoint.draining;
  return load;
}

void StaticFleetSimulation::ReportViolation(const std::string& what) {
  if (m_first_violation.empty())
    m_first_violation =
        fmt::format("{} ms: {}", std::chrono::duration_cast<Millis>(m_now.time_since_epoch()).count(), what);
}

void StaticFleetSimulation::CheckSend(const Send& send) {
  const bool told_not_run = send.completed && send.outcome == Outcome::kNotRun;
  if (told_not_run && send.runs > 0)
    ReportViolation(
        fmt::format("call {} ran although its caller was told 'not run' ({})", send.call, InfoOf(*send.reason).name));
}

bool StaticFleetSimulation::WasConnectedSince(size_t index, TimePoint time) const {
  const Instance& instance = m_instances[index];
  return instance.state != nullptr && !instance.paused && !instance.isolated && instance.connected_since <= time;
}

void StaticFleetSimulation::CheckRequestWhileLeaving(size_t endpoint, size_t sender) {
  for (const DrainNotice& notice : m_endpoints[endpoint].drain_notices) {
    const bool same_incarnation = m_instances[notice.instance].incarnation == notice.incarnation;
    const bool notice_had_time =
        m_now - notice.at > kMaxLeavingNoticeDelay && same_incarnation && WasConnectedSince(notice.instance, notice.at);
    if (notice_had_time && WasConnectedSince(sender, notice.at) && m_gossip_drop_rate == 0.0)
      ReportViolation(
          fmt::format("e{} received a request from i{} too long after it began to leave", endpoint, sender));
  }
}

void StaticFleetSimulation::CheckProbeRate(size_t endpoint) {
  const std::vector<TimePoint>& probe_times = m_endpoints[endpoint].probe_times;
  const auto first = std::lower_bound(probe_times.begin(), probe_times.end(), m_now - kProbeRateWindow + Duration(1));
  const auto count = static_cast<double>(probe_times.end() - first);
  if (count > kProbesPerSecond * 10.0)
    ReportViolation(fmt::format("e{} received {} probes within 10 s", endpoint, count));
}

void StaticFleetSimulation::CheckGenerations() {
  for (size_t i = 0; i < kInstances; ++i) {
    if (m_instances[i].state == nullptr)
      continue;
    const uint64_t generation = m_instances[i].state->Generation();
    if (generation < m_last_generations[i])
      ReportViolation(fmt::format("i{} reverted from generation {} to {}", i, m_last_generations[i], generation));
    m_last_generations[i] = generation;
  }
}

void StaticFleetSimulation::RecoverAndCheck() {
  m_platform_available = true;
  m_gossip_drop_rate = 0.0;
  for (size_t i = 0; i < kInstances; ++i) {
    SetIsolated(i, false);
    if (m_instances[i].paused)
      Resume(i);
  }
  const bool any_instance_up = std::any_of(m_instances.begin(), m_instances.end(),
                                           [](const Instance& instance) { return instance.state != nullptr; });
  Advance(Millis(15'000));
  for (size_t i = 0; i < kInstances; ++i) {
    if (m_instances[i].state == nullptr || m_instances[i].state->CurrentPhase() != Phase::kServing)
      continue;
    const uint64_t generation = m_instances[i].state->Generation();
    if (generation < m_store_generation)
      ReportViolation(fmt::format("i{} is at generation {}, the store at {}", i, generation, m_store_generation));
    if (m_instances[i].state->CallsInProgress() > 0)
      ReportViolation(fmt::format("i{} has calls in progress that never ended", i));
  }
  if (any_instance_up && m_store_generation < m_last_generations[0] && m_instances[0].state != nullptr)
    ReportViolation("the generation in force was not written back to the store");
  for (size_t i = 0; i < m_sends.size(); ++i) {
    if (!m_sends[i].completed && !m_sends[i].caller_disconnected)
      ReportViolation(fmt::format("send {} of call {} was never answered", i, m_sends[i].call));
    CheckSend(m_sends[i]);
  }
}

size_t StaticFleetSimulation::RunCount(size_t call) const {
  return m_calls[call].runs;
}

size_t StaticFleetSimulation::RequestsWhileLeaving(size_t endpoint, size_t instance) const {
  return m_endpoints[endpoint].requests_while_leaving[instance];
}

size_t StaticFleetSimulation::AnsweredCount() const {
  return static_cast<size_t>(
      std::count_if(m_sends.begin(), m_sends.end(), [](const Send& send) { return send.answered; }));
}

}  // namespace sassafras
