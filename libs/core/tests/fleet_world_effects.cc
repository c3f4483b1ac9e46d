#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "core/gossip_message.h"
#include "fleet_world.h"

namespace sassafras {
namespace {

using Millis = FleetWorld::Millis;

constexpr Millis kWorkLow{20};
constexpr Millis kWorkSpan{120};
/** How long a caller of the store waits for an answer that does not come. */
constexpr Millis kStoreLimit{900};
constexpr Millis kWatchWait{2'200};
constexpr Millis kWatchRetry{400};
constexpr size_t kSlots = 6;
constexpr size_t kQueue = 12;

}  // namespace

std::shared_ptr<const Lists> FleetWorld::ListsOf(uint64_t generation) const {
  auto lists = std::make_shared<Lists>();
  for (const char* name : {"s", "t"}) {
    Service service;
    service.name = name;
    service.connections = 200;
    service.long_share = 100;
    lists->services.push_back(service);
  }
  for (const bool safe : {true, false}) {
    Plan plan;
    plan.name = safe ? "safe" : "never";
    plan.method = safe ? "GET" : "POST";
    plan.path_prefix = "/";
    plan.repeat = safe ? Repeat::kSafe : Repeat::kNever;
    plan.deadline = kDeadline;
    plan.objective_latency = Millis(400);
    plan.max_attempts = 2;
    // The route of repeatable calls moves with each generation, the other one stays.
    plan.service = safe && generation % 2 == 1 ? "s" : "t";
    lists->plans.push_back(plan);
  }
  return lists;
}

void FleetWorld::TellStoreRead(size_t instance, uint64_t incarnation, bool ok) {
  Deliver(instance, incarnation, [this, ok]() -> Event::Any { return Event::StoreReadEnded{m_now, ok}; });
}

void FleetWorld::AskStore(size_t index, std::function<void()> answer, std::function<void()> failed) {
  ++m_store_calls;
  const uint64_t incarnation = m_instances[index].incarnation;
  const StoreMode mode = m_instances[index].store_mode;
  const Duration delay = mode == StoreMode::kSilent ? Duration(kStoreLimit) : NetworkDelay();
  After(delay, [=, this, answer = std::move(answer), failed = std::move(failed)] {
    const bool ok = mode == StoreMode::kAnswers && m_instances[index].store_mode == StoreMode::kAnswers;
    TellStoreRead(index, incarnation, ok);
    (ok ? answer : failed)();
  });
}

void FleetWorld::On(size_t index, const Effect::PollStore& effect) {
  const uint64_t incarnation = m_instances[index].incarnation;
  const auto answer = [=, this] {
    const uint64_t generation = (effect.may_lag ? m_store.AsOf(m_now, m_lag) : m_store.Latest()).generation;
    Deliver(index, incarnation, [=, this]() -> Event::Any {
      return Event::ListsReceived{m_now, generation, ListsOf(generation)};
    });
    if (effect.may_lag)
      return;
    Deliver(index, incarnation, [=, this]() -> Event::Any { return Event::StoreConfirmed{m_now, generation}; });
  };
  AskStore(index, answer, [] {});
}

void FleetWorld::WatchOnce(size_t index, uint64_t incarnation, uint64_t generation, TimePoint until) {
  Instance& instance = m_instances[index];
  if (instance.incarnation != incarnation || !instance.watching || instance.state == nullptr)
    return;
  if (instance.store_mode != StoreMode::kAnswers) {
    const Duration wait = instance.store_mode == StoreMode::kSilent ? Duration(kWatchWait) : Duration(kWatchRetry);
    After(wait, [=, this] {
      TellStoreRead(index, incarnation, m_instances[index].store_mode == StoreMode::kAnswers);
      WatchOnce(index, incarnation, generation, m_now + kWatchWait);
    });
    return;
  }
  const uint64_t latest = m_store.Latest().generation;
  if (latest == generation && m_now < until) {
    After(Millis(10), [=, this] { WatchOnce(index, incarnation, generation, until); });
    return;
  }
  Deliver(index, incarnation, [=, this]() -> Event::Any {
    return Event::ListsReceived{m_now, latest, ListsOf(latest)};
  });
  Deliver(index, incarnation, [=, this]() -> Event::Any { return Event::StoreConfirmed{m_now, latest}; });
  ++m_store_calls;
  TellStoreRead(index, incarnation, true);
  After(NetworkDelay(), [=, this] { WatchOnce(index, incarnation, latest, m_now + kWatchWait); });
}

void FleetWorld::On(size_t index, const Effect::WatchStore& effect) {
  Instance& instance = m_instances[index];
  const bool starts = effect.on && !instance.watching;
  instance.watching = effect.on;
  if (starts)
    After(NetworkDelay(),
          [this, index, incarnation = instance.incarnation] { WatchOnce(index, incarnation, 0, m_now + kWatchWait); });
}

void FleetWorld::ReadStore(size_t index, const Effect::ReadEndpoints& read, TimePoint give_up) {
  const uint64_t incarnation = m_instances[index].incarnation;
  Event::EndpointsReceived event;
  event.may_lag = read.may_lag;
  event.whole = read.whole || read.after_revision == 0 || !m_store.ChangesAfter(read.after_revision, event.changes);
  if (!event.whole && event.changes.empty() && m_now < give_up) {
    After(Millis(10), [=, this] {
      if (m_instances[index].incarnation == incarnation && m_instances[index].store_mode == StoreMode::kAnswers)
        ReadStore(index, read, give_up);
      else
        (read.whole ? m_instances[index].reading_whole : m_instances[index].reading) = false;
    });
    return;
  }
  const FakeStore::Content& content = read.may_lag ? m_store.AsOf(m_now, m_lag) : m_store.Latest();
  event.as_of = content.revision;
  if (event.whole) {
    event.changes.clear();
    for (const auto& [name, endpoint] : content.endpoints) {
      if (endpoint.kind != EndpointChange::Kind::kGone)
        event.changes.push_back(endpoint);
    }
  }
  (read.whole ? m_instances[index].reading_whole : m_instances[index].reading) = false;
  Deliver(index, incarnation, [this, event]() mutable -> Event::Any {
    event.now = m_now;
    return event;
  });
}

void FleetWorld::On(size_t index, const Effect::ReadEndpoints& effect) {
  Instance& instance = m_instances[index];
  bool& running = effect.whole ? instance.reading_whole : instance.reading;
  if (std::exchange(running, true))
    return;
  const uint64_t incarnation = instance.incarnation;
  const int peer = InstanceByPeerAddress(effect.peer_address);
  const bool ask_peer = effect.peer_first && peer >= 0;
  // A process that has started anew knows nothing of what the one before it asked.
  const auto unless_restarted = [=, this](std::function<void()> act) {
    return [=, this, act = std::move(act)] {
      if (m_instances[index].incarnation == incarnation)
        act();
    };
  };
  const auto from_store = unless_restarted([=, this] {
    AskStore(index, unless_restarted([=, this] { ReadStore(index, effect, m_now + effect.wait); }),
             unless_restarted([=, this] {
               (effect.whole ? m_instances[index].reading_whole : m_instances[index].reading) = false;
             }));
  });
  if (!ask_peer) {
    from_store();
    return;
  }
  After(NetworkDelay(), [=, this] {
    const Instance& other = m_instances[static_cast<size_t>(peer)];
    const bool answers = other.state != nullptr && !other.frozen && !other.cut && !m_instances[index].cut &&
                         other.state->EndpointsAsOf() > 0;
    if (!answers) {
      After(effect.peer_timeout, from_store);
      return;
    }
    Event::EndpointsReceived event;
    event.whole = true;
    event.from_peer = true;
    event.as_of = other.state->EndpointsAsOf();
    event.age = other.state->EndpointsAge(m_now);
    event.changes = other.state->KnownEndpoints();
    if (m_instances[index].incarnation == incarnation)
      (effect.whole ? m_instances[index].reading_whole : m_instances[index].reading) = false;
    Deliver(index, incarnation, [this, event]() mutable -> Event::Any {
      event.now = m_now;
      return event;
    });
  });
}

void FleetWorld::On(size_t index, const Effect::ReadRoster& /*effect*/) {
  const uint64_t incarnation = m_instances[index].incarnation;
  AskStore(
      index,
      [=, this] {
        m_instances[index].roster_revision = m_store.roster_revision;
        Deliver(index, incarnation, [this, members = m_store.roster]() -> Event::Any {
          return Event::RosterReceived{m_now, members};
        });
      },
      [] {});
}

void FleetWorld::On(size_t index, const Effect::WriteRoster& effect) {
  const uint64_t incarnation = m_instances[index].incarnation;
  AskStore(
      index,
      [=, this] {
        m_store.WriteRoster(effect.members, m_instances[index].roster_revision);
        m_instances[index].roster_revision = m_store.roster_revision;
        Deliver(index, incarnation, [this, members = m_store.roster]() -> Event::Any {
          return Event::RosterReceived{m_now, members};
        });
      },
      [] {});
}

void FleetWorld::On(size_t index, const Effect::FetchLists& effect) {
  Instance& instance = m_instances[index];
  if (std::exchange(instance.fetching, true))
    return;
  const uint64_t incarnation = instance.incarnation;
  const int peer = InstanceByPeerAddress(effect.peer_address);
  After(NetworkDelay(), [=, this] {
    if (m_instances[index].incarnation != incarnation)
      return;
    m_instances[index].fetching = false;
    const bool known = peer >= 0;
    const Instance* other = known ? &m_instances[static_cast<size_t>(peer)] : nullptr;
    const bool answers = known && other->state != nullptr && !other->frozen && !other->cut && !m_instances[index].cut &&
                         other->state->Generation() > 0;
    if (!answers) {
      if (effect.generation > 0)
        On(index, Effect::PollStore{});
      return;
    }
    const uint64_t generation = other->state->Generation();
    Deliver(index, incarnation, [=, this]() -> Event::Any {
      return Event::ListsReceived{m_now, generation, ListsOf(generation)};
    });
  });
}

void FleetWorld::On(size_t index, const Effect::SendGossip& effect) {
  const int peer = InstanceByPeerAddress(effect.peer_address);
  const bool lost = std::bernoulli_distribution(m_drop_rate)(m_random);
  if (peer < 0 || lost || m_instances[index].cut || m_instances[static_cast<size_t>(peer)].cut)
    return;
  const auto target = static_cast<size_t>(peer);
  // One datagram in ten arrives twice; all may overtake each other.
  const int copies = m_random() % 10 == 0 ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    After(NetworkDelay(), [this, target, message = effect.message] {
      Deliver(target, m_instances[target].incarnation, [this, message]() -> Event::Any {
        return Event::GossipReceived{m_now, *message};
      });
    });
  }
}

void FleetWorld::On(size_t index, const Effect::Accepted& effect) {
  m_calls[m_by_ticket.at({index, effect.ticket})].handle = effect.call;
}

void FleetWorld::On(size_t index, const Effect::Reject& effect) {
  CallRecord& call = m_calls[m_by_ticket.at({index, effect.ticket})];
  if (call.told && !call.hung_up && !call.answered)
    Violate("a call was answered twice");
  call.told = true;
  call.refused = effect.reason;
  if (InfoOf(effect.reason).outcome == Outcome::kNotRun && call.runs > 0)
    Violate(fmt::format("a call was told 'not run' ({}) and ran", InfoOf(effect.reason).name));
}

void FleetWorld::On(size_t index, const Effect::SendRecordedAnswer& effect) {
  m_calls[m_by_ticket.at({index, effect.ticket})].told = true;
}

LoadReport FleetWorld::ReportOf(const FakeEndpoint& endpoint) const {
  LoadReport load;
  load.present = true;
  load.in_flight = static_cast<uint32_t>(endpoint.running);
  load.slots = kSlots;
  return load;
}

void FleetWorld::On(size_t index, const Effect::SendProbe& effect) {
  const uint64_t incarnation = m_instances[index].incarnation;
  const Endpoint row = m_instances[index].state->EndpointRow(effect.endpoint);
  const auto address = static_cast<size_t>(row.address.back() - '0');
  After(NetworkDelay(), [=, this] {
    const FakeEndpoint& endpoint = m_endpoints[address];
    const bool answered = endpoint.up && endpoint.name == row.name;
    const LoadReport load = answered ? ReportOf(endpoint) : LoadReport();
    After(NetworkDelay(), [=, this] {
      Deliver(index, incarnation, [=, this]() -> Event::Any {
        return Event::ProbeEnded{m_now, effect.endpoint, answered, load, effect.call};
      });
    });
  });
}

void FleetWorld::On(size_t index, const Effect::ArmLoadQueryTimer& effect) {
  const uint64_t incarnation = m_instances[index].incarnation;
  const size_t number = m_by_ticket.at({index, effect.ticket});
  After(std::max(Duration::zero(), effect.at - m_now), [=, this] {
    Deliver(index, incarnation, [=, this]() -> Event::Any {
      return Event::LoadQueryTimeout{m_now, m_calls[number].handle};
    });
  });
}

void FleetWorld::On(size_t index, const Effect::Dispatch& dispatch) {
  const size_t number = m_by_ticket.at({index, dispatch.ticket});
  const Endpoint row = m_instances[index].state->EndpointRow(dispatch.endpoint);
  const auto address = static_cast<size_t>(row.address.back() - '0');
  const uint64_t incarnation = m_instances[index].incarnation;
  After(NetworkDelay(), [=, this] { RunAt(address, number, index, dispatch, row.name); });
  if (dispatch.hedge_at == TimePoint::max())
    return;
  After(std::max(Duration::zero(), dispatch.hedge_at - m_now), [=, this] {
    Deliver(index, incarnation, [=, this]() -> Event::Any { return Event::HedgeDue{m_now, dispatch.call}; });
  });
}

void FleetWorld::RunAt(size_t address,
                       size_t number,
                       size_t index,
                       const Effect::Dispatch& dispatch,
                       const std::string& name) {
  FakeEndpoint& endpoint = m_endpoints[address];
  CallRecord& call = m_calls[number];
  const auto end = [=, this](AttemptResult result, bool wrong) {
    After(NetworkDelay(), [=, this] { EndAttempt(index, number, dispatch, result, wrong); });
  };
  if (!endpoint.up) {
    end(AttemptResult::kNotSent, false);
    return;
  }
  // An instance that died or was frozen in between had sent the request before.
  if (endpoint.name != name) {
    end(AttemptResult::kRefused, true);
    return;
  }
  if (endpoint.running >= kSlots + kQueue) {
    end(AttemptResult::kRefused, false);
    return;
  }
  ++call.runs;
  CheckRun(endpoint, call);
  if (!call.repeat_safe && !endpoint.other_service)
    Violate(fmt::format("{} ran a call that no plan allows there", endpoint.name));
  ++endpoint.running;
  const uint64_t born = endpoint.born;
  const Millis work = kWorkLow + Millis(static_cast<int64_t>(m_random() % static_cast<uint64_t>(kWorkSpan.count())));
  After(work, [=, this] {
    FakeEndpoint& runner = m_endpoints[address];
    const bool same = runner.up && runner.born == born;
    if (same)
      --runner.running;
    end(same && !runner.losing ? AttemptResult::kAnswered : AttemptResult::kBroken, false);
  });
  After(std::max(Duration::zero(), dispatch.deadline - m_now),
        [=, this] { EndAttempt(index, number, dispatch, AttemptResult::kTimedOut, false); });
}

void FleetWorld::EndAttempt(size_t index,
                            size_t number,
                            const Effect::Dispatch& dispatch,
                            AttemptResult result,
                            bool wrong) {
  const uint64_t incarnation = m_calls[number].incarnation;
  Deliver(index, incarnation, [=, this]() -> Event::Any {
    CallRecord& call = m_calls[number];
    Event::AttemptEnded event;
    event.now = m_now;
    event.call = dispatch.call;
    event.endpoint = dispatch.endpoint;
    event.result = result;
    event.wrong_endpoint = wrong;
    if (result == AttemptResult::kAnswered && !call.told) {
      call.told = true;
      call.answered = true;
    }
    return event;
  });
}

void FleetWorld::On(size_t index, const Effect::CloseListeners& /*effect*/) {
  After(kDeadline + Millis(200), [this, index, incarnation = m_instances[index].incarnation] {
    const Instance& instance = m_instances[index];
    if (instance.incarnation == incarnation && instance.state != nullptr && !instance.frozen)
      Kill(index);
  });
}

}  // namespace sassafras
