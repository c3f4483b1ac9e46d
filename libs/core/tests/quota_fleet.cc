#include "quota_fleet.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include <fmt/format.h>

#include "core/gossip_message.h"
#include "core/reducer.h"
#include "core/state_options.h"

namespace sassafras {
namespace {

using Millis = QuotaFleet::Millis;

constexpr size_t kEndpoints = 10;
constexpr Millis kServiceTime{10};
constexpr Millis kWindow{5'000};
constexpr Millis kMaxListsDelay{1'000};

StateOptions MakeOptions(const std::string& name, TimePoint start, uint64_t incarnation, uint64_t seed) {
  StateOptions options;
  options.self.name = name;
  options.self.failure_domain = "a";
  options.self.address = name;
  options.self.peer_address = name;
  options.self.incarnation = incarnation;
  options.seed_peers = {"i0", "i1"};
  options.random_seed = seed;
  options.start = start;
  options.discovery = true;
  options.probing = false;
  options.hedging = false;
  return options;
}

std::shared_ptr<const Lists> MakeLists(const std::vector<Account>& accounts) {
  Lists lists;
  Service service;
  service.name = "s";
  service.connections = 1'000'000;
  service.long_share = 100;
  lists.services.push_back(service);
  Plan plan;
  plan.name = "p";
  plan.method = "*";
  plan.path_prefix = "/";
  plan.repeat = Repeat::kSafe;
  plan.deadline = Millis(2'000);
  plan.objective_latency = Millis(400);
  plan.service = "s";
  plan.max_attempts = 3;
  lists.plans.push_back(plan);
  lists.accounts = accounts;
  return std::make_shared<const Lists>(std::move(lists));
}

std::vector<EndpointChange> MakeEndpoints() {
  std::vector<EndpointChange> changes;
  for (size_t i = 0; i < kEndpoints; ++i) {
    EndpointChange change;
    change.row = {fmt::format("e{}", i), "s", fmt::format("127.0.0.1:{}", i), "a", 100'000, 0};
    change.revision = i + 1;
    change.incarnation = 1;
    changes.push_back(change);
  }
  return changes;
}

}  // namespace

QuotaFleet::QuotaFleet(size_t instances, std::vector<Account> accounts, uint64_t seed)
    : m_random(seed),
      m_instances(instances),
      m_accounts(std::move(accounts)),
      m_counts(m_accounts.size()),
      m_dispatches(m_accounts.size()) {
  for (size_t i = 0; i < instances; ++i)
    Restart(i);
}

Account QuotaFleet::MakeAccount(const std::string& name, double rate, double burst) {
  Account account;
  account.name = name;
  account.keys = {"key-" + name};
  account.rate_per_second = rate;
  account.burst = burst;
  return account;
}

std::vector<size_t> QuotaFleet::All() const {
  std::vector<size_t> all(m_instances.size());
  std::iota(all.begin(), all.end(), size_t{0});
  return all;
}

void QuotaFleet::Kill(size_t instance) {
  m_instances[instance].state = nullptr;
}

void QuotaFleet::Restart(size_t index) {
  Instance& instance = m_instances[index];
  instance.incarnation = ++m_last_incarnation;
  instance.state =
      std::make_unique<State>(MakeOptions(fmt::format("i{}", index), m_now, instance.incarnation, m_random()));
  instance.next_tick = m_now;
  DeliverLists(index);
  HandleEvent(index, Event::EvacuationsReceived{m_now, {1, {}}});
  HandleEvent(index, Event::EndpointsReceived{m_now, kEndpoints, true, MakeEndpoints()});
}

void QuotaFleet::DeliverLists(size_t index) {
  if (m_instances[index].state != nullptr)
    HandleEvent(index, Event::ListsReceived{m_now, m_generation, MakeLists(m_accounts)});
}

void QuotaFleet::SetAccounts(std::vector<Account> accounts) {
  m_accounts = std::move(accounts);
  ++m_generation;
  for (size_t i = 0; i < m_instances.size(); ++i)
    RunAfter(Millis(m_random() % kMaxListsDelay.count()), [this, i] { DeliverLists(i); });
}

void QuotaFleet::SetLoads(std::vector<Load> loads) {
  m_loads = std::move(loads);
  ++m_loads_generation;
  for (size_t i = 0; i < m_loads.size(); ++i)
    RunAfter(Duration::zero(), [this, i, generation = m_loads_generation] { Arrive(i, generation); });
}

void QuotaFleet::Arrive(size_t index, uint64_t generation) {
  if (generation != m_loads_generation)
    return;
  const Load& load = m_loads[index];
  const std::chrono::duration<double> gap(std::exponential_distribution<double>(load.per_second)(m_random));
  RunAfter(std::chrono::duration_cast<Duration>(gap), [=, this] { Arrive(index, generation); });
  SendCall({load.account, load.instances[m_random() % load.instances.size()], load.returns});
}

void QuotaFleet::SendCall(const Call& call) {
  Instance& instance = m_instances[call.instance];
  if (instance.state == nullptr)
    return;
  ++m_counts[call.account].sent;
  m_counts[call.account].returned += call.returned ? 1 : 0;
  m_calls.push_back(call);
  Event::CallArrived event;
  event.now = m_now;
  event.ticket = m_calls.size() - 1;
  event.plan = instance.state->FindPlan("", "GET", "/x");
  event.account = instance.state->FindAccount("key-" + m_accounts[call.account].name);
  event.time_left = Millis(2'000);
  event.fingerprint = m_random();
  HandleEvent(call.instance, event);
}

Duration QuotaFleet::NetworkDelay() {
  return std::chrono::microseconds(500 + m_random() % 3'000);
}

void QuotaFleet::RunAfter(Duration delay, std::function<void()> action) {
  m_actions.push({m_now + delay, ++m_last_sequence, std::move(action)});
}

void QuotaFleet::Advance(Millis time) {
  const TimePoint end = m_now + time;
  while (m_now < end) {
    TimePoint next = m_actions.empty() ? end : std::min(end, m_actions.top().at);
    for (const Instance& instance : m_instances) {
      if (instance.state != nullptr)
        next = std::min(next, instance.next_tick);
    }
    m_now = std::max(m_now, next);
    while (!m_actions.empty() && m_actions.top().at <= m_now) {
      const std::function<void()> run = m_actions.top().run;
      m_actions.pop();
      run();
    }
    for (size_t i = 0; i < m_instances.size(); ++i) {
      if (m_instances[i].state != nullptr && m_instances[i].next_tick <= m_now) {
        m_instances[i].next_tick = TimePoint::max();
        HandleEvent(i, Event::Tick{m_now});
      }
    }
  }
}

void QuotaFleet::HandleEvent(size_t index, const Event::Any& event) {
  Effects effects;
  State& state = *m_instances[index].state;
  Reduce(state, event, effects);
  const TimePoint next_tick = std::max<TimePoint>(m_now + Millis(1), state.NextTick(m_now));
  m_instances[index].next_tick = std::min(m_instances[index].next_tick, next_tick);
  for (const Effect::Any& effect : effects)
    HandleEffect(index, effect);
}

void QuotaFleet::HandleEffect(size_t index, const Effect::Any& effect) {
  if (const auto* gossip = std::get_if<Effect::SendGossip>(&effect))
    SendDatagram(index, *gossip);
  if (const auto* dispatch = std::get_if<Effect::Dispatch>(&effect))
    RunRequest(index, *dispatch);
  if (const auto* reject = std::get_if<Effect::Reject>(&effect))
    OnReject(*reject);
  if (std::holds_alternative<Effect::WriteLogRecord>(effect))
    ++m_log_record_count;
  if (!std::holds_alternative<Effect::ReadRoster>(effect))
    return;
  std::vector<Member> members;
  for (size_t i = 0; i < m_instances.size(); ++i) {
    Member member;
    member.name = member.address = member.peer_address = fmt::format("i{}", i);
    member.failure_domain = "a";
    members.push_back(member);
  }
  RunAfter(NetworkDelay(), [this, index, members, incarnation = m_instances[index].incarnation] {
    if (m_instances[index].state != nullptr && m_instances[index].incarnation == incarnation)
      HandleEvent(index, Event::RosterReceived{m_now, members});
  });
}

void QuotaFleet::SendDatagram(size_t index, const Effect::SendGossip& effect) {
  ++m_datagram_count;
  const auto target = static_cast<size_t>(std::stoul(effect.peer_address.substr(1)));
  const bool lost = std::bernoulli_distribution(m_loss_rate)(m_random);
  const bool separated = (index < m_partition) != (target < m_partition);
  if (lost || separated || m_instances[index].isolated || m_instances[target].isolated)
    return;
  RunAfter(NetworkDelay(), [this, target, message = effect.message] {
    if (m_instances[target].state != nullptr)
      HandleEvent(target, Event::GossipReceived{m_now, *message});
  });
}

void QuotaFleet::RunRequest(size_t index, const Effect::Dispatch& dispatch) {
  m_dispatches[m_calls[dispatch.ticket].account].push_back(m_now);
  const bool broken = std::bernoulli_distribution(m_broken_rate)(m_random);
  RunAfter(kServiceTime, [this, index, dispatch, broken, incarnation = m_instances[index].incarnation] {
    if (m_instances[index].state == nullptr || m_instances[index].incarnation != incarnation)
      return;
    Event::AttemptEnded event;
    event.now = m_now;
    event.call = dispatch.call;
    event.endpoint = dispatch.endpoint;
    event.result = broken ? AttemptResult::kBroken : AttemptResult::kAnswered;
    event.load.present = true;
    event.load.slots = 100'000;
    m_counts[m_calls[dispatch.ticket].account].served += broken ? 0 : 1;
    HandleEvent(index, event);
  });
}

void QuotaFleet::OnReject(const Effect::Reject& reject) {
  Call call = m_calls[reject.ticket];
  Counts& counts = m_counts[call.account];
  ++counts.rejected;
  counts.returned_rejected += call.returned ? 1 : 0;
  if (!call.returns || reject.reason != Reason::kOverQuota)
    return;
  call.returned = true;
  call.instance = m_random() % m_instances.size();
  RunAfter(reject.retry_after, [this, call] { SendCall(call); });
}

double QuotaFleet::RejectedShare(size_t account) const {
  const Counts& counts = m_counts[account];
  return static_cast<double>(counts.rejected) / static_cast<double>(std::max<size_t>(1, counts.sent));
}

double QuotaFleet::WorstWindow(size_t account, TimePoint from) const {
  const std::vector<TimePoint>& times = m_dispatches[account];
  size_t most = 0;
  size_t first = 0;
  for (size_t last = 0; last < times.size(); ++last) {
    if (times[last] < from)
      continue;
    while (times[first] < from || times[last] - times[first] >= kWindow)
      ++first;
    most = std::max(most, last - first + 1);
  }
  const Account& limit = m_accounts[account];
  return static_cast<double>(most) / ((limit.rate_per_second * 5 + limit.burst) * 1.1 + 20);
}

}  // namespace sassafras
