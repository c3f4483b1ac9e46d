#include "platform_fleet_simulation.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "base/hash.h"
#include "core/reducer.h"
#include "core/state_options.h"

namespace sassafras {
namespace {

using Millis = PlatformFleetSimulation::Millis;

/** Maximum time, as the users require, from the store's acknowledgement that an endpoint leaves to its last call. */
constexpr Millis kMaxLeavingNoticeDelay{2'000};
/** Maximum time, as the users require, from the store's acknowledgement of a generation until it is applied. */
constexpr Millis kMaxListsDelay{2'000};
/** Time, as the users require, from the store's acknowledgement that a key is removed until it has no effect. */
constexpr Millis kKeyRevocationLimit{5'000};
/** The part of it in which instances may send requests with the key, and the longest time that a request travels. */
constexpr Millis kMaxKeyUse{4'000};
constexpr Millis kMaxRequestTravel{10};
/** Maximum time, as the users require, from the store's acknowledgement of an evacuation to the last request. */
constexpr Millis kMaxEvacuationDelay{5'000};
/** Time until every instance in touch knows that an endpoint went back to warm-up, by its answers or its entry. */
constexpr Millis kWarmupNoticeTime{2'000};
/** Time without failures after which the bounds above apply. */
constexpr Millis kUndisturbedTime{3'000};
/** Time from the end of an endpoint's entry until another endpoint may use its address. */
constexpr Millis kAddressReuseDelay{2'000};
/** Time until the entry of an endpoint that cannot renew it expires. */
constexpr Millis kEntryLease{4'500};
/** Time within which endpoints write expired entries back when the store is available again. */
constexpr Millis kMaxEntryReturnDelay{1'500};
/** Time for which a draining endpoint keeps serving. */
constexpr Millis kDrainDuration{2'600};
/** Time for requests under way to arrive at an endpoint that has just asked for none, and how many may come later. */
constexpr Millis kHoldOffGrace{500};
constexpr size_t kMaxRequestsInHoldOff = 2;
/** Time for which an endpoint keeps serving that tells only its callers that it is leaving. */
constexpr Millis kSilentLeaveDuration{4'000};

}  // namespace

PlatformFleetSimulation::PlatformFleetSimulation(uint64_t seed, bool with_keys)
    : m_random(seed),
      m_with_keys(with_keys),
      m_now(std::chrono::hours(1)),
      m_store(m_now),
      m_generations_acknowledged_at(2, m_now) {
  for (size_t address = 0; address < kAddresses - 2; ++address)
    StartEndpoint(address, address % 2 == 1);
  for (size_t i = 0; i < kInstances; ++i)
    StartInstance(i);
  Advance(Millis(8'000));
}

PlatformFleetSimulation::~PlatformFleetSimulation() = default;

void PlatformFleetSimulation::StartInstance(size_t index) {
  StateOptions options;
  options.self.name = fmt::format("i{}", index);
  options.self.failure_domain = index % 2 == 0 ? "a" : "b";
  options.self.address = fmt::format("c{}", index);
  options.self.peer_address = fmt::format("p{}", index);
  options.self.incarnation = ++m_last_incarnation;
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
  options.key_revocation_limit = m_with_keys ? kKeyRevocationLimit : Millis(0);
  Instance& instance = m_instances[index];
  const bool isolated = instance.isolated;
  const StoreMode mode = instance.store_mode;
  instance = Instance();
  instance.isolated = isolated;
  instance.store_mode = mode;
  instance.incarnation = options.self.incarnation;
  instance.state = std::make_unique<State>(options);
  instance.next_tick = m_now;
  instance.undisturbed_since = m_now;
  m_last_generations[index] = 0;
}

void PlatformFleetSimulation::RunAfter(Duration delay, std::function<void()> action) {
  m_scheduled.push({m_now + delay, ++m_last_sequence, std::move(action)});
}

Duration PlatformFleetSimulation::NetworkDelay() {
  return Millis(1) + std::chrono::microseconds(static_cast<int64_t>(m_random() % 4'000));
}

void PlatformFleetSimulation::Advance(Millis time) {
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
      HandleEvent(i, Event::Tick{m_now});
      if (instance.state != nullptr)
        instance.next_tick = std::max(m_now + Millis(1), instance.state->NextTick(m_now));
    }
  }
  CheckGenerations();
}

void PlatformFleetSimulation::DeliverEvent(size_t index, uint64_t incarnation, std::function<Event::Any()> make_event) {
  Instance& instance = m_instances[index];
  if (instance.state == nullptr || instance.incarnation != incarnation)
    return;
  if (instance.paused)
    instance.deferred_events.push_back(std::move(make_event));
  else
    HandleEvent(index, make_event());
}

void PlatformFleetSimulation::HandleEvent(size_t index, const Event::Any& event) {
  Instance& instance = m_instances[index];
  Effects effects;
  Reduce(*instance.state, event, effects);
  m_effects_digest.Add(index, effects);
  for (const Effect::Any& effect : effects)
    std::visit([&](const auto& kind) { HandleEffect(index, kind); }, effect);
  if (instance.state != nullptr)
    instance.next_tick = std::min(instance.next_tick, std::max(m_now + Millis(1), instance.state->NextTick(m_now)));
}

size_t PlatformFleetSimulation::SendCall(size_t index, bool repeat_safe) {
  CallRecord call;
  call.repeat_safe = repeat_safe;
  call.instance = index;
  return AddCall(call);
}

size_t PlatformFleetSimulation::SendLimitedCall(size_t index) {
  CallRecord call;
  call.repeat_safe = true;
  call.limited = true;
  call.instance = index;
  return AddCall(call);
}

size_t PlatformFleetSimulation::AddCall(const CallRecord& added) {
  const size_t number = m_calls.size();
  CallRecord call = added;
  const size_t index = call.instance;
  call.incarnation = m_instances[index].incarnation;
  call.ticket = ++m_last_ticket;
  call.sent_at = m_now;
  // One of the two valid keys, or the one that was removed last.
  if (m_with_keys && !call.limited)
    call.key = m_store.Latest().generation + 1 - number % 3;
  m_calls_by_ticket[{index, call.ticket}] = number;
  m_calls.push_back(call);
  Event::CallArrived event;
  event.ticket = call.ticket;
  event.fingerprint = number + 1;
  event.time_left = kCallDeadline;
  DeliverEvent(index, call.incarnation, [this, event, call]() mutable -> Event::Any {
    const State& state = *m_instances[call.instance].state;
    event.now = m_now;
    event.plan = state.FindPlan("", call.repeat_safe ? "GET" : "POST", call.limited ? kLimitedPath : "/");
    const std::string key = call.limited ? std::string(kLimitedAccountKey) : fmt::format("k{}", call.key);
    if (call.limited || call.key > 0) {
      event.account = state.FindAccount(key);
      event.api_key_hash = Hash64(key);
    }
    return event;
  });
  return number;
}

void PlatformFleetSimulation::DisconnectCaller(size_t number) {
  CallRecord& call = m_calls[number];
  if (call.completed || call.caller_disconnected)
    return;
  call.caller_disconnected = true;
  DeliverEvent(call.instance, call.incarnation, [this, number]() -> Event::Any {
    return Event::CallerGone{m_now, m_calls[number].handle};
  });
}

void PlatformFleetSimulation::Pause(size_t instance) {
  m_instances[instance].paused = true;
  ForgetToldLeaving(instance);
  ForgetHoldOffs(instance);
  MarkDisturbed(instance);
}

void PlatformFleetSimulation::Resume(size_t index) {
  Instance& instance = m_instances[index];
  instance.paused = false;
  MarkDisturbed(index);
  const auto deferred_events = std::exchange(instance.deferred_events, {});
  for (const auto& make_event : deferred_events)
    HandleEvent(index, make_event());
  instance.next_tick = m_now;
}

void PlatformFleetSimulation::Kill(size_t index) {
  Instance& instance = m_instances[index];
  // Callers see their connections break and do not learn the outcome.
  for (CallRecord& call : m_calls) {
    if (call.instance == index && call.incarnation == instance.incarnation)
      call.completed = true;
  }
  ForgetToldLeaving(index);
  ForgetHoldOffs(index);
  instance.state.reset();
  instance.paused = false;
  instance.deferred_events.clear();
}

void PlatformFleetSimulation::Restart(size_t index) {
  if (m_instances[index].state != nullptr)
    Kill(index);
  StartInstance(index);
}

void PlatformFleetSimulation::StopGracefully(size_t index) {
  MarkDisturbed(index);
  DeliverEvent(index, m_instances[index].incarnation, [this]() -> Event::Any { return Event::StopRequested{m_now}; });
}

void PlatformFleetSimulation::SetIsolated(size_t instance, bool isolated) {
  m_instances[instance].isolated = isolated;
  ForgetHoldOffs(instance);
  MarkDisturbed(instance);
}

void PlatformFleetSimulation::SetStoreMode(size_t instance, StoreMode mode) {
  m_instances[instance].store_mode = mode;
  MarkDisturbed(instance);
}

void PlatformFleetSimulation::TakeStoreDown(StoreMode mode, bool expire_entries) {
  m_store_down = true;
  m_store_undisturbed_since = m_now;
  for (Instance& instance : m_instances)
    instance.store_mode = mode;
  if (!expire_entries)
    return;
  RunAfter(kEntryLease, [this] {
    for (size_t address = 0; address < kAddresses && m_store_down; ++address) {
      if (!m_endpoints[address].up || m_endpoints[address].draining)
        continue;
      m_store.Remove(m_endpoints[address].name, m_now);
      m_expired_addresses.push_back(address);
    }
  });
}

void PlatformFleetSimulation::BringStoreUp() {
  m_store_down = false;
  m_store_undisturbed_since = m_now;
  for (Instance& instance : m_instances)
    instance.store_mode = StoreMode::kAnswers;
  for (const size_t address : std::exchange(m_expired_addresses, {})) {
    RunAfter(Millis(static_cast<int64_t>(m_random() % kMaxEntryReturnDelay.count())), [this, address] {
      if (m_endpoints[address].up)
        PutEntry(address);
    });
  }
}

void PlatformFleetSimulation::RestoreStore(Millis age) {
  const uint64_t latest_generation = m_store.Latest().generation;
  BringStoreUp();
  m_store.Restore(m_now, age);
  for (const char* domain : {"a", "b"})
    m_store.SetEvacuated(domain, m_evacuated_at.contains(domain), m_now);
  for (uint64_t generation = m_store.Latest().generation; generation < latest_generation; ++generation)
    m_store.NextGeneration(m_now);
  for (size_t address = 0; address < kAddresses; ++address) {
    RunAfter(Millis(static_cast<int64_t>(m_random() % kMaxEntryReturnDelay.count())),
             [this, address, name = m_endpoints[address].name] {
               if (m_endpoints[address].up && m_endpoints[address].name == name)
                 PutEntry(address);
             });
  }
  RunAfter(kEntryLease, [this] {
    const auto listed = m_store.Latest().endpoints;
    for (const auto& [name, entry] : listed) {
      const bool up = std::any_of(m_endpoints.begin(), m_endpoints.end(),
                                  [&](const FakeEndpoint& endpoint) { return endpoint.up && endpoint.name == name; });
      if (!up)
        m_store.Remove(name, m_now);
    }
  });
}

void PlatformFleetSimulation::MoveRoute() {
  if (m_store_down)
    return;
  m_store.NextGeneration(m_now);
  m_generations_acknowledged_at.push_back(m_now);
}

void PlatformFleetSimulation::PutEntry(size_t address) {
  const FakeEndpoint& endpoint = m_endpoints[address];
  EndpointChange entry;
  entry.kind = endpoint.draining ? EndpointChange::Kind::kLeaving : EndpointChange::Kind::kServing;
  entry.row = {endpoint.name,
               endpoint.other_service ? "t" : "s",
               fmt::format("a{}", address),
               address % 2 == 0 ? "a" : "b",
               6,
               0};
  entry.incarnation = endpoint.incarnation;
  entry.warmup = std::max(Millis(0), std::chrono::ceil<Millis>(endpoint.warmup_until - m_now));
  m_store.Put(std::move(entry), m_now);
}

void PlatformFleetSimulation::SetEvacuated(const std::string& domain, bool evacuated) {
  if (m_store_down)
    return;
  m_store.SetEvacuated(domain, evacuated, m_now);
  if (evacuated)
    m_evacuated_at.emplace(domain, m_now);
  else
    m_evacuated_at.erase(domain);
}

void PlatformFleetSimulation::StartWarmup(size_t address) {
  FakeEndpoint& endpoint = m_endpoints[address];
  if (!endpoint.up || endpoint.draining || m_now < endpoint.warmup_until)
    return;
  endpoint.warmup_from = m_now;
  endpoint.warmup_until = m_now + kWarmupDuration;
  endpoint.warmup_runs.clear();
  if (!m_store_down)
    PutEntry(address);
}

void PlatformFleetSimulation::Drain(size_t address) {
  FakeEndpoint& endpoint = m_endpoints[address];
  if (!endpoint.up || endpoint.draining || m_store_down)
    return;
  endpoint.draining = true;
  endpoint.says_leaving = true;
  endpoint.leave_acknowledged_at = m_now;
  PutEntry(address);
  RunAfter(kDrainDuration, [this, address, name = endpoint.name] {
    FakeEndpoint& leaving = m_endpoints[address];
    if (leaving.name != name)
      return;
    leaving.up = false;
    leaving.reusable_at = m_now + kAddressReuseDelay;
    m_store.Remove(name, m_now);
  });
}

void PlatformFleetSimulation::LeaveWithoutNotice(size_t address) {
  FakeEndpoint& endpoint = m_endpoints[address];
  if (!endpoint.up || endpoint.says_leaving)
    return;
  endpoint.says_leaving = true;
  endpoint.tells_probes = false;
  RunAfter(kSilentLeaveDuration, [this, address, incarnation = endpoint.incarnation] {
    if (m_endpoints[address].incarnation == incarnation)
      Crash(address);
  });
}

void PlatformFleetSimulation::RecordToldLeaving(size_t address, uint64_t incarnation, size_t instance) {
  FakeEndpoint& endpoint = m_endpoints[address];
  std::optional<TimePoint>& told_at = endpoint.told_leaving_at[instance];
  if (endpoint.incarnation == incarnation && !told_at.has_value())
    told_at = m_now;
}

void PlatformFleetSimulation::ForgetToldLeaving(size_t instance) {
  for (FakeEndpoint& endpoint : m_endpoints)
    endpoint.told_leaving_at[instance].reset();
}

void PlatformFleetSimulation::ForgetHoldOffs(size_t instance) {
  for (FakeEndpoint& endpoint : m_endpoints)
    endpoint.hold_offs[instance] = HoldOff();
}

void PlatformFleetSimulation::StartHoldOff(FakeEndpoint& endpoint, size_t instance) {
  HoldOff& hold_off = endpoint.hold_offs[instance];
  if (m_now >= hold_off.until)
    hold_off = {m_now + kHoldOffGrace, m_now, 0};
  hold_off.until = m_now + kHoldOffDuration;
}

void PlatformFleetSimulation::CheckHoldOff(FakeEndpoint& endpoint, size_t instance) {
  HoldOff& hold_off = endpoint.hold_offs[instance];
  if (m_now <= hold_off.from || m_now >= hold_off.until)
    return;
  ++hold_off.requests;
  if (hold_off.requests > kMaxRequestsInHoldOff)
    ReportViolation(fmt::format("{} received {} requests from i{} although it wants none", endpoint.name,
                                hold_off.requests, instance));
}

void PlatformFleetSimulation::Crash(size_t address) {
  FakeEndpoint& endpoint = m_endpoints[address];
  if (!endpoint.up)
    return;
  endpoint.up = false;
  endpoint.reusable_at = m_now + kEntryLease + kAddressReuseDelay;
  RunAfter(kEntryLease, [this, name = endpoint.name] { m_store.Remove(name, m_now); });
}

void PlatformFleetSimulation::StartEndpoint(size_t address, bool other_service) {
  FakeEndpoint& endpoint = m_endpoints[address];
  if (endpoint.up || m_now < endpoint.reusable_at || m_store_down)
    return;
  endpoint = FakeEndpoint();
  endpoint.name = fmt::format("e{}", ++m_last_endpoint_number);
  endpoint.other_service = other_service;
  endpoint.up = true;
  endpoint.incarnation = ++m_last_incarnation;
  PutEntry(address);
}

void PlatformFleetSimulation::RestartEndpoint(size_t address) {
  FakeEndpoint& endpoint = m_endpoints[address];
  if (!endpoint.up || endpoint.draining || m_store_down)
    return;
  endpoint.incarnation = ++m_last_incarnation;
  endpoint.requests_running = 0;
  endpoint.says_leaving = false;
  endpoint.tells_probes = true;
  endpoint.told_leaving_at = {};
  endpoint.holds_off = false;
  endpoint.hold_offs = {};
  PutEntry(address);
}

void PlatformFleetSimulation::WriteDamagedEntry() {
  EndpointChange damaged;
  damaged.kind = EndpointChange::Kind::kGone;
  damaged.row.name = "somebody-else";
  if (!m_store_down)
    m_store.Put(damaged, m_now);
}

int PlatformFleetSimulation::InstanceByPeerAddress(const std::string& address) const {
  for (size_t i = 0; i < kInstances; ++i) {
    if (address == fmt::format("p{}", i))
      return static_cast<int>(i);
  }
  return -1;
}

bool PlatformFleetSimulation::IsUndisturbed(size_t index) const {
  const Instance& instance = m_instances[index];
  const TimePoint last_disturbance =
      std::max({instance.undisturbed_since, m_store_undisturbed_since, m_gossip_undisturbed_since});
  const bool connected = instance.store_mode == StoreMode::kAnswers && !instance.isolated;
  return instance.state != nullptr && !instance.paused && connected && !m_store_down && m_gossip_drop_rate == 0.0 &&
         m_now - last_disturbance >= kUndisturbedTime;
}

void PlatformFleetSimulation::ReportViolation(const std::string& what) {
  if (m_first_violation.empty())
    m_first_violation =
        fmt::format("{} ms: {}", std::chrono::duration_cast<Millis>(m_now.time_since_epoch()).count(), what);
}

void PlatformFleetSimulation::CheckKey(const CallRecord& call) {
  const uint64_t without_key = call.key + 1;
  if (call.key == 0 || without_key >= m_generations_acknowledged_at.size())
    return;
  const Duration used_for = m_now - m_generations_acknowledged_at[without_key];
  if (used_for > kMaxKeyUse + kMaxRequestTravel)
    ReportViolation(fmt::format("i{} sent a call {} ms after its key was removed", call.instance,
                                std::chrono::duration_cast<Millis>(used_for).count()));
}

void PlatformFleetSimulation::CheckRun(const FakeEndpoint& endpoint, const CallRecord& call) {
  CheckKey(call);
  if (!call.repeat_safe && call.runs > 1)
    ReportViolation(fmt::format("a call that must not be repeated ran {} times", call.runs));
  if (call.reject_reason.has_value() && InfoOf(*call.reject_reason).outcome == Outcome::kNotRun)
    ReportViolation(
        fmt::format("a call ran after its caller was told 'not run' ({})", InfoOf(*call.reject_reason).name));
  const bool notice_overdue = endpoint.leave_acknowledged_at.has_value() &&
                              call.sent_at > *endpoint.leave_acknowledged_at + kMaxLeavingNoticeDelay;
  if (notice_overdue && IsUndisturbed(call.instance))
    ReportViolation(
        fmt::format("{} received a call from i{} too long after it began to leave", endpoint.name, call.instance));
  const std::optional<TimePoint>& told_at = endpoint.told_leaving_at[call.instance];
  const bool same_process = m_instances[call.instance].incarnation == call.incarnation;
  if (told_at.has_value() && same_process && call.sent_at > *told_at + kMaxLeavingNoticeDelay)
    ReportViolation(
        fmt::format("{} received a call from i{} long after it told it that it leaves", endpoint.name, call.instance));
}

void PlatformFleetSimulation::CheckEvacuation(size_t address, size_t index) {
  const std::string domain = address % 2 == 0 ? "a" : "b";
  const auto evacuated = m_evacuated_at.find(domain);
  if (evacuated != m_evacuated_at.end() && m_now > evacuated->second + kMaxEvacuationDelay && IsUndisturbed(index))
    ReportViolation(fmt::format("an endpoint of the evacuated domain {} received a request from i{}", domain, index));
}

void PlatformFleetSimulation::CheckWarmup(FakeEndpoint& endpoint, size_t index) {
  if (m_now < endpoint.warmup_from + kWarmupNoticeTime || m_now >= endpoint.warmup_until || !IsUndisturbed(index))
    return;
  std::vector<TimePoint>& runs = endpoint.warmup_runs;
  runs.push_back(m_now);
  std::erase_if(runs, [&](TimePoint run) { return run <= m_now - Millis(1'000); });
  if (runs.size() > kMaxWarmupRequests)
    ReportViolation(fmt::format("{} received {} requests in a second of its warm-up", endpoint.name, runs.size()));
}

void PlatformFleetSimulation::CheckQuota() {
  constexpr Millis kWindow{5'000};
  constexpr double kMaxRuns = (kLimitedAccountRate * 5 + kLimitedAccountBurst) * 1.1 + 20;
  m_limited_runs.push_back(m_now);
  while (m_now - m_limited_runs.front() >= kWindow)
    m_limited_runs.pop_front();
  if (static_cast<double>(m_limited_runs.size()) > kMaxRuns)
    ReportViolation(fmt::format("{} requests of an account ran in 5 s, over its quota", m_limited_runs.size()));
}

void PlatformFleetSimulation::CheckNoFalseLeavingMarks(size_t index) {
  const State& state = *m_instances[index].state;
  for (uint32_t position = 0; position < state.EndpointCount(); ++position) {
    const EndpointHandle handle(position);
    for (const FakeEndpoint& endpoint : m_endpoints) {
      const bool serving = endpoint.up && !endpoint.says_leaving && !endpoint.draining;
      if (serving && endpoint.name == state.EndpointConfig(handle).name && state.IsLeaving(handle))
        ReportViolation(fmt::format("i{} takes {} for leaving, but it serves", index, endpoint.name));
    }
  }
}

void PlatformFleetSimulation::CheckGenerations() {
  for (size_t i = 0; i < kInstances; ++i) {
    const Instance& instance = m_instances[i];
    if (instance.state == nullptr)
      continue;
    const uint64_t generation = instance.state->Generation();
    if (generation < m_last_generations[i])
      ReportViolation(fmt::format("i{} reverted from generation {} to {}", i, m_last_generations[i], generation));
    m_last_generations[i] = generation;
    const bool serving = instance.state->CurrentPhase() == Phase::kServing;
    const bool lists_overdue = generation + 1 < m_generations_acknowledged_at.size() &&
                               m_now > m_generations_acknowledged_at[generation + 1] + kMaxListsDelay;
    if (serving && lists_overdue && IsUndisturbed(i))
      ReportViolation(fmt::format("i{} still has generation {}, the latest is {}", i, generation,
                                  m_generations_acknowledged_at.size() - 1));
  }
}

void PlatformFleetSimulation::RecoverAndCheck() {
  if (m_store_down)
    BringStoreUp();
  m_gossip_drop_rate = 0.0;
  m_read_lag = Millis(0);
  for (size_t i = 0; i < kInstances; ++i) {
    SetIsolated(i, false);
    SetStoreMode(i, StoreMode::kAnswers);
    if (m_instances[i].paused)
      Resume(i);
  }
  Advance(Millis(12'000));
  for (size_t i = 0; i < kInstances; ++i) {
    const Instance& instance = m_instances[i];
    if (instance.state == nullptr || instance.state->CurrentPhase() != Phase::kServing)
      continue;
    if (instance.state->Generation() != m_store.Latest().generation)
      ReportViolation(fmt::format("i{} has generation {}, the store {}", i, instance.state->Generation(),
                                  m_store.Latest().generation));
    if (instance.state->CallsInProgress() > 0)
      ReportViolation(fmt::format("i{} has calls in progress that never ended", i));
    CheckNoFalseLeavingMarks(i);
    if (!instance.state->AreKeysConfirmed(m_now))
      ReportViolation(fmt::format("i{} does not confirm keys", i));
    const std::vector<std::string>& evacuated = instance.state->EvacuatedDomains();
    if (std::set<std::string>(evacuated.begin(), evacuated.end()) != m_store.Latest().evacuated_domains)
      ReportViolation(fmt::format("i{} knows {} evacuated domains, the store {}", i, evacuated.size(),
                                  m_store.Latest().evacuated_domains.size()));
    std::map<std::string, bool> known;
    for (const EndpointChange& endpoint : instance.state->KnownEndpoints())
      known[endpoint.row.name] = endpoint.kind == EndpointChange::Kind::kLeaving;
    std::map<std::string, bool> listed;
    for (const auto& [name, endpoint] : m_store.Latest().endpoints) {
      if (endpoint.kind != EndpointChange::Kind::kGone)
        listed[name] = endpoint.kind == EndpointChange::Kind::kLeaving;
    }
    if (known != listed)
      ReportViolation(fmt::format("i{} knows {} endpoints, the store lists {}", i, known.size(), listed.size()));
  }
  for (size_t number = 0; number < m_calls.size(); ++number) {
    const CallRecord& call = m_calls[number];
    if (!call.completed && !call.caller_disconnected)
      ReportViolation(fmt::format("call {} was never answered", number));
  }
}

size_t PlatformFleetSimulation::AnsweredCount() const {
  return static_cast<size_t>(
      std::count_if(m_calls.begin(), m_calls.end(), [](const CallRecord& call) { return call.answered; }));
}

}  // namespace sassafras
