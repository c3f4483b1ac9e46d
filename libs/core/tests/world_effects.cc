#include <utility>

#include <fmt/format.h>

#include "core/gossip_message.h"
#include "world.h"
#include "world_setup.h"

namespace sassafras {

void World::On(size_t instance, const Effect::Accepted& effect) {
  m_sends[m_by_ticket.at({instance, effect.ticket})].handle = effect.call;
}

void World::On(size_t instance, const Effect::Dispatch& dispatch) {
  const size_t send = m_by_ticket.at({instance, dispatch.ticket});
  const size_t endpoint = EndpointIndex(instance, dispatch.endpoint);
  const uint64_t incarnation = m_instances[instance].incarnation;
  After(RandomDelay(kNetworkLow, kNetworkHigh), [=, this] { RunAt(endpoint, send, instance, dispatch); });
  if (dispatch.hedge_at == TimePoint::max())
    return;
  After(dispatch.hedge_at - m_now, [=, this] {
    Deliver(instance, incarnation, [=, this]() -> Event::Any { return Event::HedgeDue{m_now, dispatch.call}; });
  });
}

void World::RunAt(size_t endpoint_index, size_t send_index, size_t instance, const Effect::Dispatch& dispatch) {
  const uint64_t incarnation = m_sends[send_index].incarnation;
  FakeEndpoint& endpoint = m_endpoints[endpoint_index];
  const auto end = [=, this](AttemptResult result, LoadReport load, std::shared_ptr<const RecordedAnswer> answer) {
    After(RandomDelay(kNetworkLow, kNetworkHigh),
          [=, this] { EndAttempt(instance, incarnation, dispatch, result, load, answer); });
  };
  if (!endpoint.up) {
    end(AttemptResult::kNotSent, {}, nullptr);
    return;
  }
  if (endpoint.draining) {
    ++endpoint.late_requests[instance];
    CheckLeaving(endpoint_index, instance);
    end(AttemptResult::kRefused, ReportOf(endpoint), nullptr);
    return;
  }
  if (endpoint.running >= kSlots + 1) {
    end(AttemptResult::kRefused, ReportOf(endpoint), nullptr);
    return;
  }
  Send& send = m_sends[send_index];
  Record& call = m_calls[send.call];
  ++send.runs;
  ++call.runs;
  if (!call.repeat_safe && call.runs > 1)
    Violate(fmt::format("call {} ran {} times", send.call, call.runs));
  CheckSend(send);
  if (call.poison) {
    ++m_crashes;
    endpoint.up = false;
    end(AttemptResult::kBroken, {}, nullptr);
    After(Millis(1'000), [this, endpoint_index] { RestartEndpoint(endpoint_index); });
    return;
  }
  ++endpoint.running;
  const uint64_t run_by = endpoint.incarnation;
  After(RandomDelay(kWorkLow, kWorkHigh), [=, this] {
    FakeEndpoint& fake = m_endpoints[endpoint_index];
    if (fake.incarnation != run_by) {
      end(AttemptResult::kBroken, {}, nullptr);
      return;
    }
    --fake.running;
    if (fake.losing) {
      end(AttemptResult::kBroken, {}, nullptr);
      return;
    }
    auto answer = std::make_shared<RecordedAnswer>();
    answer->body = fmt::format("{}", m_sends[send_index].call);
    end(AttemptResult::kAnswered, ReportOf(fake), std::move(answer));
  });
  After(dispatch.deadline - m_now,
        [=, this] { EndAttempt(instance, incarnation, dispatch, AttemptResult::kTimedOut, {}, nullptr); });
}

void World::EndAttempt(size_t instance,
                       uint64_t incarnation,
                       const Effect::Dispatch& dispatch,
                       AttemptResult result,
                       LoadReport load,
                       std::shared_ptr<const RecordedAnswer> answer) {
  Deliver(instance, incarnation, [=, this]() -> Event::Any {
    Send& send = m_sends[m_by_ticket.at({instance, dispatch.ticket})];
    Event::AttemptEnded event;
    event.now = m_now;
    event.call = dispatch.call;
    event.endpoint = dispatch.endpoint;
    event.result = result;
    event.load = load;
    event.answer = answer;
    if (load.draining)
      m_endpoints[EndpointIndex(instance, dispatch.endpoint)].signs.push_back({instance, incarnation, m_now});
    if (result == AttemptResult::kAnswered && !send.told) {
      send.told = true;
      send.answered = true;
    }
    return event;
  });
}

void World::Tell(size_t instance,
                 uint64_t ticket,
                 std::optional<Outcome> outcome,
                 std::optional<Reason> reason,
                 const RecordedAnswer* answer) {
  const auto found = m_by_ticket.find({instance, ticket});
  if (found == m_by_ticket.end())
    return;
  Send& send = m_sends[found->second];
  if (send.told && !send.hung_up && !send.answered)
    Violate(fmt::format("send {} was answered twice", found->second));
  send.told = true;
  send.outcome = outcome;
  send.reason = reason;
  send.answered = answer != nullptr;
  if (answer != nullptr && answer->body != fmt::format("{}", send.call))
    Violate(fmt::format("call {} got the answer of call {}", send.call, answer->body));
  CheckSend(send);
}

void World::On(size_t instance, const Effect::Reject& effect) {
  Tell(instance, effect.ticket, InfoOf(effect.reason).outcome, effect.reason, nullptr);
}

void World::On(size_t instance, const Effect::SendRecordedAnswer& effect) {
  Tell(instance, effect.ticket, std::nullopt, std::nullopt, effect.answer.get());
}

void World::On(size_t /*instance*/, const Effect::ArmLoadQueryTimer& /*effect*/) {}

void World::On(size_t /*instance*/, const Effect::ReadEndpoints& /*effect*/) {}

void World::On(size_t /*instance*/, const Effect::ReadRoster& /*effect*/) {}

void World::On(size_t /*instance*/, const Effect::WriteLogRecord& /*effect*/) {}

void World::On(size_t /*instance*/, const Effect::WriteRoster& /*effect*/) {}

void World::On(size_t instance, const Effect::SendProbe& effect) {
  const size_t endpoint = EndpointIndex(instance, effect.endpoint);
  const uint64_t incarnation = m_instances[instance].incarnation;
  m_endpoints[endpoint].probes.push_back(m_now);
  CheckProbes(endpoint);
  After(RandomDelay(kNetworkLow, kNetworkHigh), [=, this] {
    const FakeEndpoint& fake = m_endpoints[endpoint];
    const LoadReport load = ReportOf(fake);
    const bool answered = fake.up;
    Deliver(instance, incarnation, [=, this]() -> Event::Any {
      return Event::ProbeEnded{m_now, effect.endpoint, answered, load};
    });
  });
}

void World::On(size_t instance, const Effect::SendGossip& effect) {
  const int peer = InstanceByPeerAddress(effect.peer_address);
  const bool lost = std::bernoulli_distribution(m_drop_rate)(m_random);
  if (peer < 0 || lost || m_instances[instance].cut || m_instances[static_cast<size_t>(peer)].cut)
    return;
  const auto target = static_cast<size_t>(peer);
  // One datagram in ten arrives twice; all may overtake each other.
  const int copies = m_random() % 10 == 0 ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    After(RandomDelay(kNetworkLow, kNetworkHigh), [this, target, message = effect.message] {
      Deliver(target, m_instances[target].incarnation, [this, message]() -> Event::Any {
        return Event::GossipReceived{m_now, *message};
      });
    });
  }
}

void World::On(size_t instance, const Effect::FetchLists& effect) {
  const int peer = InstanceByPeerAddress(effect.peer_address);
  const uint64_t incarnation = m_instances[instance].incarnation;
  if (peer < 0 || m_instances[instance].cut || m_instances[static_cast<size_t>(peer)].cut)
    return;
  const auto target = static_cast<size_t>(peer);
  After(RandomDelay(kNetworkLow, kNetworkHigh), [=, this] {
    const Instance& other = m_instances[target];
    if (other.state == nullptr || other.frozen || other.state->Generation() == 0)
      return;
    const uint64_t generation = other.state->Generation();
    Deliver(instance, incarnation, [=, this]() -> Event::Any {
      return Event::ListsReceived{m_now, generation, m_lists};
    });
  });
}

std::vector<Member> World::DirectoryMembers() const {
  std::vector<Member> members;
  for (size_t i = 0; i < kInstances; ++i) {
    Member member;
    member.name = fmt::format("i{}", i);
    member.address = fmt::format("c{}", i);
    member.peer_address = PeerAddress(i);
    members.push_back(member);
  }
  return members;
}

void World::On(size_t instance, const Effect::PollStore& /*effect*/) {
  const uint64_t incarnation = m_instances[instance].incarnation;
  After(RandomDelay(kNetworkLow, kNetworkHigh), [=, this] {
    if (!m_platform_up)
      return;
    const uint64_t generation = m_store_generation;
    Deliver(instance, incarnation, [=, this]() -> Event::Any {
      return Event::ListsReceived{m_now, generation, m_lists};
    });
    Deliver(instance, incarnation, [=, this]() -> Event::Any { return Event::StoreConfirmed{m_now, generation}; });
    Deliver(instance, incarnation, [this]() -> Event::Any {
      return Event::DirectoryReceived{m_now, true, DirectoryMembers(), {}};
    });
  });
}

void World::On(size_t /*instance*/, const Effect::WatchStore& /*effect*/) {
  // Watchers read the store each second as well; the fake has no other way to tell them.
}

void World::On(size_t /*instance*/, const Effect::RestoreLists& effect) {
  After(RandomDelay(kNetworkLow, kNetworkHigh), [this, generation = effect.generation] {
    if (m_platform_up && generation > m_store_generation)
      m_store_generation = generation;
  });
}

void World::On(size_t instance, const Effect::ClaimSeat& effect) {
  const TimePoint before = m_now;
  const uint64_t incarnation = m_instances[instance].incarnation;
  After(RandomDelay(kNetworkLow, kNetworkHigh), [=, this] {
    if (!m_platform_up)
      return;
    Seat& seat = m_seats[effect.seat];
    const bool free = seat.until <= m_now;
    const bool mine = seat.holder == static_cast<int>(instance) && seat.incarnation == incarnation && !free;
    if (free || mine)
      seat = {static_cast<int>(instance), incarnation, m_now + kSeatTtl};
    const bool granted = free || mine;
    After(RandomDelay(kNetworkLow, kNetworkHigh), [=, this] {
      Deliver(instance, incarnation, [=, this]() -> Event::Any {
        if (granted)
          return Event::SeatGranted{m_now, effect.seat, before + kSeatRelied};
        return Event::SeatRefused{m_now, effect.seat};
      });
    });
  });
}

void World::On(size_t instance, const Effect::ReleaseSeat& effect) {
  Seat& seat = m_seats[effect.seat];
  if (m_platform_up && seat.holder == static_cast<int>(instance))
    seat = Seat();
}

void World::On(size_t instance, const Effect::CloseListeners& /*effect*/) {
  // The process ends once its last call has ended.
  After(kDeadline + Millis(100), [this, instance, incarnation = m_instances[instance].incarnation] {
    if (m_instances[instance].incarnation != incarnation || m_instances[instance].state == nullptr)
      return;
    if (WasInTouch(instance, m_now - kDeadline) && m_instances[instance].state->CallsInProgress() > 0)
      Violate(fmt::format("i{} still has calls after its planned stop", instance));
    Kill(instance);
  });
}

}  // namespace sassafras
