#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "core/gossip_message.h"
#include "platform_fleet_simulation.h"

namespace sassafras {
namespace {

using Millis = PlatformFleetSimulation::Millis;

constexpr Millis kMinServiceTime{20};
constexpr Millis kServiceTimeSpan{120};
/** Time after which a call to a store that does not reply fails. */
constexpr Millis kStoreTimeout{900};
/** Time after which a watch whose wait has ended fails. */
constexpr Millis kWatchTimeoutMargin{700};
/** Time after which a refused watch request is repeated. */
constexpr Millis kWatchRetryDelay{400};
constexpr size_t kEndpointSlots = 6;
/** Requests that an endpoint queues beyond its slots before it refuses further ones. */
constexpr size_t kEndpointQueueLength = 12;

}  // namespace

std::shared_ptr<const Lists> PlatformFleetSimulation::MakeLists(uint64_t generation) const {
  auto lists = std::make_shared<Lists>();
  for (const char* name : {"s", "t"}) {
    Service service;
    service.name = name;
    service.connections = 200;
    service.long_share = 100;
    service.warmup_rate = kWarmupRate;
    lists->services.push_back(service);
  }
  for (const bool repeat_safe : {true, false}) {
    Plan plan;
    // The plans swap their names with each generation, as if routes were split and another part kept the name.
    plan.name = repeat_safe == (generation % 2 == 0) ? "first" : "second";
    plan.method = repeat_safe ? "GET" : "POST";
    plan.path_prefix = "/";
    plan.repeat = repeat_safe ? Repeat::kSafe : Repeat::kNever;
    plan.deadline = kCallDeadline;
    plan.objective_latency = Millis(400);
    plan.max_attempts = 2;
    plan.is_public = !m_with_keys;
    // The plan of repeatable calls changes its service with each generation; the other plan keeps its service.
    plan.service = repeat_safe && generation % 2 == 1 ? "s" : "t";
    lists->plans.push_back(plan);
  }
  // Calls of the account with a quota need its key: on a public route they would not count.
  Plan limited_plan = lists->plans.front();
  limited_plan.name = "limited";
  limited_plan.path_prefix = kLimitedPath;
  limited_plan.is_public = false;
  lists->plans.push_back(limited_plan);
  if (m_with_keys) {
    Account account;
    account.name = "account";
    account.keys = {fmt::format("k{}", generation), fmt::format("k{}", generation + 1)};
    lists->accounts.push_back(account);
  }
  Account limited;
  limited.name = "limited";
  limited.keys = {kLimitedAccountKey};
  limited.rate_per_second = kLimitedAccountRate;
  limited.burst = kLimitedAccountBurst;
  lists->accounts.push_back(limited);
  return lists;
}

Millis PlatformFleetSimulation::AgeOf(TimePoint stated_at) const {
  return std::chrono::ceil<Millis>(m_now - stated_at);
}

Millis PlatformFleetSimulation::MaxWatchWait(size_t instance) const {
  const State* state = m_instances[instance].state.get();
  const Millis wait = state == nullptr ? Millis(0) : state->ListsWatchWait();
  return m_with_keys ? std::min(wait, Millis(700)) : wait;
}

void PlatformFleetSimulation::DeliverStoreRead(size_t instance, uint64_t incarnation, bool ok) {
  DeliverEvent(instance, incarnation, [this, ok]() -> Event::Any { return Event::StoreReadEnded{m_now, ok}; });
}

void PlatformFleetSimulation::CallStore(size_t index,
                                        std::function<void()> on_answer,
                                        std::function<void()> on_failure) {
  ++m_store_call_count;
  const uint64_t incarnation = m_instances[index].incarnation;
  const StoreMode mode = m_instances[index].store_mode;
  const Duration delay = mode == StoreMode::kSilent ? Duration(kStoreTimeout) : NetworkDelay();
  RunAfter(delay, [=, this, on_answer = std::move(on_answer), on_failure = std::move(on_failure)] {
    const bool ok = mode == StoreMode::kAnswers && m_instances[index].store_mode == StoreMode::kAnswers;
    DeliverStoreRead(index, incarnation, ok);
    (ok ? on_answer : on_failure)();
  });
}

void PlatformFleetSimulation::DeliverPlans(size_t index,
                                           uint64_t incarnation,
                                           const FakeStore::Snapshot& snapshot,
                                           bool may_lag) {
  // A read that may lag does not tell the era.
  const uint64_t as_of = may_lag ? RevisionNumber(snapshot.revision) : snapshot.revision;
  const auto& domains = snapshot.evacuated_domains;
  DeliverEvent(index, incarnation, [=, this, names = std::vector(domains.begin(), domains.end())]() -> Event::Any {
    return Event::EvacuationsReceived{m_now, {as_of, names}, may_lag};
  });
  DeliverEvent(index, incarnation, [this, generation = snapshot.generation]() -> Event::Any {
    return Event::ListsReceived{m_now, generation, MakeLists(generation)};
  });
}

void PlatformFleetSimulation::HandleEffect(size_t index, const Effect::PollStore& effect) {
  const uint64_t incarnation = m_instances[index].incarnation;
  const auto on_answer = [=, this, started_at = m_now] {
    const FakeStore::Snapshot snapshot = effect.may_lag ? m_store.SnapshotAt(m_now, m_read_lag) : m_store.Latest();
    const uint64_t generation = snapshot.generation;
    DeliverPlans(index, incarnation, snapshot, effect.may_lag);
    if (effect.may_lag)
      return;
    DeliverEvent(index, incarnation, [=, this, stated_at = m_now]() -> Event::Any {
      return Event::StoreConfirmed{m_now, generation, started_at, AgeOf(stated_at)};
    });
  };
  CallStore(index, on_answer, [] {});
}

void PlatformFleetSimulation::ContinueWatch(size_t index,
                                            uint64_t incarnation,
                                            uint64_t operator_revision,
                                            TimePoint wait_until) {
  Instance& instance = m_instances[index];
  if (instance.incarnation != incarnation || !instance.watching || instance.state == nullptr)
    return;
  if (instance.store_mode != StoreMode::kAnswers) {
    const Duration wait = instance.store_mode == StoreMode::kSilent
                              ? Duration(MaxWatchWait(index) + kWatchTimeoutMargin)
                              : Duration(kWatchRetryDelay);
    RunAfter(wait, [=, this] {
      DeliverStoreRead(index, incarnation, m_instances[index].store_mode == StoreMode::kAnswers);
      ContinueWatch(index, incarnation, operator_revision, m_now + MaxWatchWait(index));
    });
    return;
  }
  const FakeStore::Snapshot& latest = m_store.Latest();
  if (latest.operator_revision == operator_revision && m_now < wait_until) {
    RunAfter(Millis(10), [=, this] { ContinueWatch(index, incarnation, operator_revision, wait_until); });
    return;
  }
  DeliverPlans(index, incarnation, latest, false);
  const TimePoint started_at = wait_until - MaxWatchWait(index);
  DeliverEvent(index, incarnation,
               [this, generation = latest.generation, started_at, stated_at = m_now]() -> Event::Any {
                 return Event::StoreConfirmed{m_now, generation, started_at, AgeOf(stated_at)};
               });
  ++m_store_call_count;
  DeliverStoreRead(index, incarnation, true);
  RunAfter(NetworkDelay(), [=, this, seen = latest.operator_revision] {
    ContinueWatch(index, incarnation, seen, m_now + MaxWatchWait(index));
  });
}

void PlatformFleetSimulation::HandleEffect(size_t index, const Effect::WatchStore& effect) {
  Instance& instance = m_instances[index];
  const bool starts = effect.on && !instance.watching;
  instance.watching = effect.on;
  if (starts)
    RunAfter(NetworkDelay(), [this, index, incarnation = instance.incarnation] {
      ContinueWatch(index, incarnation, 0, m_now + MaxWatchWait(index));
    });
}

void PlatformFleetSimulation::FailLongPoll(size_t index, uint64_t incarnation, bool whole, TimePoint respond_by) {
  const bool silent = m_instances[index].store_mode == StoreMode::kSilent;
  RunAfter(silent ? respond_by + kWatchTimeoutMargin - m_now : Duration::zero(), [=, this] {
    if (m_instances[index].incarnation != incarnation)
      return;
    (whole ? m_instances[index].reading_all : m_instances[index].reading_changes) = false;
    DeliverStoreRead(index, incarnation, false);
  });
}

void PlatformFleetSimulation::LongPollEndpoints(size_t index, const Effect::ReadEndpoints& read, TimePoint respond_by) {
  const uint64_t incarnation = m_instances[index].incarnation;
  Event::EndpointsReceived event;
  event.may_lag = read.may_lag;
  event.whole = read.whole || read.after_revision == 0 || !m_store.ChangesAfter(read.after_revision, event.changes);
  if (!event.whole && event.changes.empty() && m_now < respond_by) {
    RunAfter(Millis(10), [=, this] {
      if (m_instances[index].incarnation == incarnation && m_instances[index].store_mode == StoreMode::kAnswers)
        LongPollEndpoints(index, read, respond_by);
      else
        FailLongPoll(index, incarnation, read.whole, respond_by);
    });
    return;
  }
  const FakeStore::Snapshot& snapshot = read.may_lag ? m_store.SnapshotAt(m_now, m_read_lag) : m_store.Latest();
  event.as_of = snapshot.revision;
  if (event.whole) {
    event.changes.clear();
    for (const auto& [name, endpoint] : snapshot.endpoints) {
      if (endpoint.kind != EndpointChange::Kind::kGone)
        event.changes.push_back(endpoint);
    }
  }
  (read.whole ? m_instances[index].reading_all : m_instances[index].reading_changes) = false;
  DeliverEvent(index, incarnation, [this, event, stated_at = m_now]() mutable -> Event::Any {
    event.now = m_now;
    event.age = AgeOf(stated_at);
    return event;
  });
}

void PlatformFleetSimulation::HandleEffect(size_t index, const Effect::ReadEndpoints& effect) {
  Instance& instance = m_instances[index];
  bool& read_in_progress = effect.whole ? instance.reading_all : instance.reading_changes;
  if (std::exchange(read_in_progress, true))
    return;
  const uint64_t incarnation = instance.incarnation;
  const int peer = InstanceByPeerAddress(effect.peer_address);
  const bool queries_peer = effect.peer_first && peer >= 0;
  // A restarted process ignores replies to requests of its previous incarnation.
  const auto unless_restarted = [=, this](std::function<void()> action) {
    return [=, this, action = std::move(action)] {
      if (m_instances[index].incarnation == incarnation)
        action();
    };
  };
  const auto read_from_store = unless_restarted([=, this] {
    CallStore(index, unless_restarted([=, this] { LongPollEndpoints(index, effect, m_now + effect.wait); }),
              unless_restarted([=, this] {
                (effect.whole ? m_instances[index].reading_all : m_instances[index].reading_changes) = false;
              }));
  });
  if (!queries_peer) {
    read_from_store();
    return;
  }
  RunAfter(NetworkDelay(), [=, this] {
    const Instance& other = m_instances[static_cast<size_t>(peer)];
    const bool peer_answers = other.state != nullptr && !other.paused && !other.isolated &&
                              !m_instances[index].isolated && other.state->EndpointsAsOf() > 0;
    if (!peer_answers) {
      RunAfter(effect.peer_timeout, read_from_store);
      return;
    }
    Event::EndpointsReceived event;
    event.whole = true;
    event.from_peer = true;
    event.as_of = other.state->EndpointsAsOf();
    event.age = other.state->EndpointsAge(m_now);
    event.changes = other.state->KnownEndpoints();
    if (m_instances[index].incarnation == incarnation)
      (effect.whole ? m_instances[index].reading_all : m_instances[index].reading_changes) = false;
    DeliverEvent(index, incarnation, [this, event]() mutable -> Event::Any {
      event.now = m_now;
      return event;
    });
  });
}

void PlatformFleetSimulation::HandleEffect(size_t index, const Effect::ReadRoster& /*effect*/) {
  const uint64_t incarnation = m_instances[index].incarnation;
  CallStore(
      index,
      [=, this] {
        m_instances[index].roster_revision = m_store.roster_revision;
        DeliverEvent(index, incarnation, [this, members = m_store.roster]() -> Event::Any {
          return Event::RosterReceived{m_now, members};
        });
      },
      [] {});
}

void PlatformFleetSimulation::HandleEffect(size_t index, const Effect::WriteRoster& effect) {
  const uint64_t incarnation = m_instances[index].incarnation;
  CallStore(
      index,
      [=, this] {
        m_store.WriteRoster(effect.members, m_instances[index].roster_revision);
        m_instances[index].roster_revision = m_store.roster_revision;
        DeliverEvent(index, incarnation, [this, members = m_store.roster]() -> Event::Any {
          return Event::RosterReceived{m_now, members};
        });
      },
      [] {});
}

void PlatformFleetSimulation::HandleEffect(size_t index, const Effect::FetchLists& effect) {
  Instance& instance = m_instances[index];
  if (std::exchange(instance.fetching_lists, true))
    return;
  const uint64_t incarnation = instance.incarnation;
  const int peer = InstanceByPeerAddress(effect.peer_address);
  RunAfter(NetworkDelay(), [=, this] {
    if (m_instances[index].incarnation != incarnation)
      return;
    m_instances[index].fetching_lists = false;
    const bool known = peer >= 0;
    const Instance* other = known ? &m_instances[static_cast<size_t>(peer)] : nullptr;
    const bool peer_answers = known && other->state != nullptr && !other->paused && !other->isolated &&
                              !m_instances[index].isolated && other->state->Generation() > 0;
    if (!peer_answers) {
      if (effect.generation > 0)
        HandleEffect(index, Effect::PollStore{});
      return;
    }
    const uint64_t generation = other->state->Generation();
    DeliverEvent(index, incarnation, [=, this]() -> Event::Any {
      return Event::ListsReceived{m_now, generation, MakeLists(generation)};
    });
  });
}

void PlatformFleetSimulation::HandleEffect(size_t index, const Effect::SendGossip& effect) {
  const int peer = InstanceByPeerAddress(effect.peer_address);
  const bool lost = std::bernoulli_distribution(m_gossip_drop_rate)(m_random);
  if (peer < 0 || lost || m_instances[index].isolated || m_instances[static_cast<size_t>(peer)].isolated)
    return;
  const auto target = static_cast<size_t>(peer);
  // One datagram in ten is duplicated; random delays reorder datagrams.
  const int copies = m_random() % 10 == 0 ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    RunAfter(NetworkDelay(), [this, target, message = effect.message] {
      DeliverEvent(target, m_instances[target].incarnation, [this, message]() -> Event::Any {
        return Event::GossipReceived{m_now, *message};
      });
    });
  }
}

void PlatformFleetSimulation::HandleEffect(size_t index, const Effect::Accepted& effect) {
  m_calls[m_calls_by_ticket.at({index, effect.ticket})].handle = effect.call;
}

void PlatformFleetSimulation::HandleEffect(size_t index, const Effect::Reject& effect) {
  CallRecord& call = m_calls[m_calls_by_ticket.at({index, effect.ticket})];
  if (call.completed && !call.caller_disconnected && !call.answered)
    ReportViolation("a call received two replies");
  call.completed = true;
  call.reject_reason = effect.reason;
  if (InfoOf(effect.reason).outcome == Outcome::kNotRun && call.runs > 0)
    ReportViolation(fmt::format("a call ran although its caller was told 'not run' ({})", InfoOf(effect.reason).name));
}

void PlatformFleetSimulation::HandleEffect(size_t index, const Effect::SendRecordedAnswer& effect) {
  m_calls[m_calls_by_ticket.at({index, effect.ticket})].completed = true;
}

LoadReport PlatformFleetSimulation::MakeLoadReport(const FakeEndpoint& endpoint) const {
  LoadReport load;
  load.present = true;
  load.in_flight = static_cast<uint32_t>(endpoint.requests_running);
  load.slots = kEndpointSlots;
  load.draining = endpoint.says_leaving && endpoint.tells_probes;
  return load;
}

void PlatformFleetSimulation::HandleEffect(size_t index, const Effect::SendProbe& effect) {
  const uint64_t incarnation = m_instances[index].incarnation;
  const Endpoint row = m_instances[index].state->EndpointConfig(effect.endpoint);
  const uint64_t known_incarnation = m_instances[index].state->EndpointIncarnation(effect.endpoint);
  const auto address = static_cast<size_t>(row.address.back() - '0');
  RunAfter(NetworkDelay(), [=, this] {
    FakeEndpoint& endpoint = m_endpoints[address];
    const bool answered = endpoint.up && endpoint.name == row.name;
    if (answered)
      CheckHoldOff(endpoint, index);
    LoadReport load = answered ? MakeLoadReport(endpoint) : LoadReport();
    load.incarnation = known_incarnation;
    if (answered)
      load.warmup_left = std::max(Millis(0), std::chrono::ceil<Millis>(endpoint.warmup_until - m_now));
    const uint64_t answering = endpoint.incarnation;
    RunAfter(NetworkDelay(), [=, this] {
      DeliverEvent(index, incarnation, [=, this]() -> Event::Any {
        if (load.draining)
          RecordToldLeaving(address, answering, index);
        return Event::ProbeEnded{m_now, effect.endpoint, answered, load, effect.call};
      });
    });
  });
}

void PlatformFleetSimulation::HandleEffect(size_t index, const Effect::ArmProbeWaitTimer& effect) {
  const uint64_t incarnation = m_instances[index].incarnation;
  const size_t number = m_calls_by_ticket.at({index, effect.ticket});
  RunAfter(std::max(Duration::zero(), effect.at - m_now), [=, this] {
    DeliverEvent(index, incarnation, [=, this]() -> Event::Any {
      return Event::ProbeWaitExpired{m_now, m_calls[number].handle};
    });
  });
}

void PlatformFleetSimulation::HandleEffect(size_t index, const Effect::Dispatch& dispatch) {
  const size_t number = m_calls_by_ticket.at({index, dispatch.ticket});
  const Endpoint row = m_instances[index].state->EndpointConfig(dispatch.endpoint);
  const std::vector<std::string>& evacuated = m_instances[index].state->EvacuatedDomains();
  if (std::find(evacuated.begin(), evacuated.end(), row.failure_domain) != evacuated.end())
    ReportViolation(fmt::format("i{} sent a request to a failure domain that it knows to be evacuated", index));
  const auto address = static_cast<size_t>(row.address.back() - '0');
  const uint64_t incarnation = m_instances[index].incarnation;
  const uint64_t known_incarnation = m_instances[index].state->EndpointIncarnation(dispatch.endpoint);
  RunAfter(NetworkDelay(), [=, this] { HandleRequest(address, number, index, dispatch, row.name, known_incarnation); });
  if (dispatch.hedge_at == TimePoint::max())
    return;
  RunAfter(std::max(Duration::zero(), dispatch.hedge_at - m_now), [=, this] {
    DeliverEvent(index, incarnation, [=, this]() -> Event::Any { return Event::HedgeDue{m_now, dispatch.call}; });
  });
}

void PlatformFleetSimulation::HandleRequest(size_t address,
                                            size_t number,
                                            size_t index,
                                            const Effect::Dispatch& dispatch,
                                            const std::string& name,
                                            uint64_t known_incarnation) {
  FakeEndpoint& endpoint = m_endpoints[address];
  CallRecord& call = m_calls[number];
  // The I/O layer reports the end of an attempt once, whatever comes first.
  const auto has_ended = std::make_shared<bool>(false);
  const auto end_attempt = [=, this](AttemptResult result, bool is_wrong_endpoint) {
    const FakeEndpoint& answering = m_endpoints[address];
    const bool has_answer = result == AttemptResult::kAnswered || result == AttemptResult::kRefused;
    LoadReport load;
    load.draining = has_answer && answering.says_leaving;
    load.incarnation = known_incarnation;
    if (result == AttemptResult::kRefused && !is_wrong_endpoint && answering.holds_off)
      load.hold_off = kHoldOffDuration;
    const uint64_t answering_incarnation = answering.incarnation;
    RunAfter(NetworkDelay(), [=, this] {
      if (std::exchange(*has_ended, true))
        return;
      DeliverAttemptEnd(index, number, dispatch, result, is_wrong_endpoint, load);
      if (load.draining && !is_wrong_endpoint && !m_instances[index].paused)
        RecordToldLeaving(address, answering_incarnation, index);
    });
  };
  if (!endpoint.up) {
    end_attempt(AttemptResult::kNotSent, false);
    return;
  }
  // Another endpoint took over the address since the instance, paused or killed in between, chose the previous one.
  if (endpoint.name != name) {
    end_attempt(AttemptResult::kRefused, true);
    return;
  }
  CheckHoldOff(endpoint, index);
  if (endpoint.holds_off) {
    StartHoldOff(endpoint, index);
    end_attempt(AttemptResult::kRefused, false);
    return;
  }
  if (endpoint.requests_running >= kEndpointSlots + kEndpointQueueLength) {
    end_attempt(AttemptResult::kRefused, false);
    return;
  }
  ++call.runs;
  if (call.limited)
    CheckQuota();
  CheckRun(endpoint, call);
  CheckEvacuation(address, index);
  CheckWarmup(endpoint, index);
  if (!call.repeat_safe && !endpoint.other_service)
    ReportViolation(fmt::format("{} ran a call that no plan routes to its service", endpoint.name));
  ++endpoint.requests_running;
  const uint64_t incarnation = endpoint.incarnation;
  const Millis work =
      kMinServiceTime + Millis(static_cast<int64_t>(m_random() % static_cast<uint64_t>(kServiceTimeSpan.count())));
  RunAfter(work, [=, this] {
    FakeEndpoint& runner = m_endpoints[address];
    const bool still_running = runner.up && runner.incarnation == incarnation;
    if (still_running)
      --runner.requests_running;
    end_attempt(still_running && !runner.loses_answers ? AttemptResult::kAnswered : AttemptResult::kBroken, false);
  });
  RunAfter(std::max(Duration::zero(), dispatch.deadline - m_now), [=, this] {
    if (!std::exchange(*has_ended, true))
      DeliverAttemptEnd(index, number, dispatch, AttemptResult::kTimedOut, false, LoadReport());
  });
}

void PlatformFleetSimulation::DeliverAttemptEnd(size_t index,
                                                size_t number,
                                                const Effect::Dispatch& dispatch,
                                                AttemptResult result,
                                                bool is_wrong_endpoint,
                                                const LoadReport& load) {
  const uint64_t incarnation = m_calls[number].incarnation;
  DeliverEvent(index, incarnation, [=, this]() -> Event::Any {
    CallRecord& call = m_calls[number];
    Event::AttemptEnded event;
    event.now = m_now;
    event.call = dispatch.call;
    event.endpoint = dispatch.endpoint;
    event.result = result;
    event.wrong_endpoint = is_wrong_endpoint;
    event.load = load;
    if (result == AttemptResult::kAnswered && !call.completed) {
      call.completed = true;
      call.answered = true;
    }
    return event;
  });
}

void PlatformFleetSimulation::HandleEffect(size_t index, const Effect::CloseListeners& /*effect*/) {
  RunAfter(kCallDeadline + Millis(200), [this, index, incarnation = m_instances[index].incarnation] {
    const Instance& instance = m_instances[index];
    if (instance.incarnation == incarnation && instance.state != nullptr && !instance.paused)
      Kill(index);
  });
}

}  // namespace sassafras
