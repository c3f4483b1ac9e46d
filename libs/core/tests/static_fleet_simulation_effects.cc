#include <utility>

#include <fmt/format.h>

#include "core/gossip_message.h"
#include "static_fleet_setup.h"
#include "static_fleet_simulation.h"

namespace sassafras {

void StaticFleetSimulation::HandleEffect(size_t instance, const Effect::Accepted& effect) {
  m_sends[m_sends_by_ticket.at({instance, effect.ticket})].handle = effect.call;
}

void StaticFleetSimulation::HandleEffect(size_t instance, const Effect::Dispatch& dispatch) {
  const size_t send = m_sends_by_ticket.at({instance, dispatch.ticket});
  const size_t endpoint = EndpointIndex(instance, dispatch.endpoint);
  const uint64_t incarnation = m_instances[instance].incarnation;
  RunAfter(RandomDelay(kMinNetworkDelay, kMaxNetworkDelay),
           [=, this] { HandleRequest(endpoint, send, instance, dispatch); });
  if (dispatch.hedge_at == TimePoint::max())
    return;
  RunAfter(dispatch.hedge_at - m_now, [=, this] {
    DeliverEvent(instance, incarnation, [=, this]() -> Event::Any { return Event::HedgeDue{m_now, dispatch.call}; });
  });
}

void StaticFleetSimulation::HandleRequest(size_t endpoint_index,
                                          size_t send_index,
                                          size_t instance,
                                          const Effect::Dispatch& dispatch) {
  const uint64_t incarnation = m_sends[send_index].incarnation;
  FakeEndpoint& endpoint = m_endpoints[endpoint_index];
  // The I/O layer reports the end of an attempt once, whatever comes first.
  const auto has_ended = std::make_shared<bool>(false);
  const auto end_attempt = [=, this](AttemptResult result, LoadReport load,
                                     std::shared_ptr<const RecordedAnswer> answer) {
    RunAfter(RandomDelay(kMinNetworkDelay, kMaxNetworkDelay), [=, this] {
      if (!std::exchange(*has_ended, true))
        DeliverAttemptEnd(instance, incarnation, dispatch, result, load, answer);
    });
  };
  if (!endpoint.up) {
    end_attempt(AttemptResult::kNotSent, {}, nullptr);
    return;
  }
  if (endpoint.draining) {
    ++endpoint.requests_while_leaving[instance];
    CheckRequestWhileLeaving(endpoint_index, instance);
    end_attempt(AttemptResult::kRefused, MakeLoadReport(endpoint), nullptr);
    return;
  }
  if (endpoint.requests_running >= kEndpointSlots + 1) {
    end_attempt(AttemptResult::kRefused, MakeLoadReport(endpoint), nullptr);
    return;
  }
  Send& send = m_sends[send_index];
  LogicalCall& call = m_calls[send.call];
  ++send.runs;
  ++call.runs;
  if (!call.repeat_safe && call.runs > 1)
    ReportViolation(fmt::format("call {} ran {} times", send.call, call.runs));
  CheckSend(send);
  if (call.poison) {
    ++m_endpoint_crashes;
    endpoint.up = false;
    end_attempt(AttemptResult::kBroken, {}, nullptr);
    RunAfter(Millis(1'000), [this, endpoint_index] { RestartEndpoint(endpoint_index); });
    return;
  }
  ++endpoint.requests_running;
  const uint64_t endpoint_incarnation = endpoint.incarnation;
  RunAfter(RandomDelay(kMinServiceTime, kMaxServiceTime), [=, this] {
    FakeEndpoint& fake_endpoint = m_endpoints[endpoint_index];
    if (fake_endpoint.incarnation != endpoint_incarnation) {
      end_attempt(AttemptResult::kBroken, {}, nullptr);
      return;
    }
    --fake_endpoint.requests_running;
    if (fake_endpoint.loses_answers) {
      end_attempt(AttemptResult::kBroken, {}, nullptr);
      return;
    }
    auto answer = std::make_shared<RecordedAnswer>();
    answer->body = fmt::format("{}", m_sends[send_index].call);
    end_attempt(AttemptResult::kAnswered, MakeLoadReport(fake_endpoint), std::move(answer));
  });
  RunAfter(dispatch.deadline - m_now, [=, this] {
    if (!std::exchange(*has_ended, true))
      DeliverAttemptEnd(instance, incarnation, dispatch, AttemptResult::kTimedOut, {}, nullptr);
  });
}

void StaticFleetSimulation::DeliverAttemptEnd(size_t instance,
                                              uint64_t incarnation,
                                              const Effect::Dispatch& dispatch,
                                              AttemptResult result,
                                              LoadReport load,
                                              std::shared_ptr<const RecordedAnswer> answer) {
  DeliverEvent(instance, incarnation, [=, this]() -> Event::Any {
    Send& send = m_sends[m_sends_by_ticket.at({instance, dispatch.ticket})];
    Event::AttemptEnded event;
    event.now = m_now;
    event.call = dispatch.call;
    event.endpoint = dispatch.endpoint;
    event.result = result;
    event.load = load;
    event.answer = answer;
    if (load.draining)
      m_endpoints[EndpointIndex(instance, dispatch.endpoint)].drain_notices.push_back({instance, incarnation, m_now});
    if (result == AttemptResult::kAnswered && !send.completed) {
      send.completed = true;
      send.answered = true;
    }
    return event;
  });
}

void StaticFleetSimulation::CompleteSend(size_t instance,
                                         uint64_t ticket,
                                         std::optional<Outcome> outcome,
                                         std::optional<Reason> reason,
                                         const RecordedAnswer* answer) {
  const auto found = m_sends_by_ticket.find({instance, ticket});
  if (found == m_sends_by_ticket.end())
    return;
  Send& send = m_sends[found->second];
  if (send.completed && !send.caller_disconnected && !send.answered)
    ReportViolation(fmt::format("send {} received two replies", found->second));
  send.completed = true;
  send.outcome = outcome;
  send.reason = reason;
  send.answered = answer != nullptr;
  if (answer != nullptr && answer->body != fmt::format("{}", send.call))
    ReportViolation(fmt::format("call {} received the answer of call {}", send.call, answer->body));
  CheckSend(send);
}

void StaticFleetSimulation::HandleEffect(size_t instance, const Effect::Reject& effect) {
  CompleteSend(instance, effect.ticket, InfoOf(effect.reason).outcome, effect.reason, nullptr);
}

void StaticFleetSimulation::HandleEffect(size_t instance, const Effect::SendRecordedAnswer& effect) {
  CompleteSend(instance, effect.ticket, std::nullopt, std::nullopt, effect.answer.get());
}

void StaticFleetSimulation::HandleEffect(size_t /*instance*/, const Effect::ArmProbeWaitTimer& /*effect*/) {}

void StaticFleetSimulation::HandleEffect(size_t /*instance*/, const Effect::ReadEndpoints& /*effect*/) {}

void StaticFleetSimulation::HandleEffect(size_t /*instance*/, const Effect::ReadRoster& /*effect*/) {}

void StaticFleetSimulation::HandleEffect(size_t /*instance*/, const Effect::WriteLogRecord& /*effect*/) {}

void StaticFleetSimulation::HandleEffect(size_t /*instance*/, const Effect::WriteRoster& /*effect*/) {}

void StaticFleetSimulation::HandleEffect(size_t instance, const Effect::SendProbe& effect) {
  const size_t endpoint = EndpointIndex(instance, effect.endpoint);
  const uint64_t incarnation = m_instances[instance].incarnation;
  m_endpoints[endpoint].probe_times.push_back(m_now);
  CheckProbeRate(endpoint);
  RunAfter(RandomDelay(kMinNetworkDelay, kMaxNetworkDelay), [=, this] {
    const FakeEndpoint& fake_endpoint = m_endpoints[endpoint];
    const LoadReport load = MakeLoadReport(fake_endpoint);
    const bool answered = fake_endpoint.up;
    DeliverEvent(instance, incarnation, [=, this]() -> Event::Any {
      return Event::ProbeEnded{m_now, effect.endpoint, answered, load};
    });
  });
}

void StaticFleetSimulation::HandleEffect(size_t instance, const Effect::SendGossip& effect) {
  const int peer = InstanceByPeerAddress(effect.peer_address);
  const bool lost = std::bernoulli_distribution(m_gossip_drop_rate)(m_random);
  if (peer < 0 || lost || m_instances[instance].isolated || m_instances[static_cast<size_t>(peer)].isolated)
    return;
  const auto target = static_cast<size_t>(peer);
  // One datagram in ten is duplicated; random delays reorder datagrams.
  const int copies = m_random() % 10 == 0 ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    RunAfter(RandomDelay(kMinNetworkDelay, kMaxNetworkDelay), [this, target, message = effect.message] {
      DeliverEvent(target, m_instances[target].incarnation, [this, message]() -> Event::Any {
        return Event::GossipReceived{m_now, *message};
      });
    });
  }
}

void StaticFleetSimulation::HandleEffect(size_t instance, const Effect::FetchLists& effect) {
  const int peer = InstanceByPeerAddress(effect.peer_address);
  const uint64_t incarnation = m_instances[instance].incarnation;
  if (peer < 0 || m_instances[instance].isolated || m_instances[static_cast<size_t>(peer)].isolated)
    return;
  const auto target = static_cast<size_t>(peer);
  RunAfter(RandomDelay(kMinNetworkDelay, kMaxNetworkDelay), [=, this] {
    const Instance& other = m_instances[target];
    if (other.state == nullptr || other.paused || other.state->Generation() == 0)
      return;
    const uint64_t generation = other.state->Generation();
    DeliverEvent(instance, incarnation, [=, this]() -> Event::Any {
      return Event::ListsReceived{m_now, generation, m_lists};
    });
  });
}

std::vector<Member> StaticFleetSimulation::DirectoryMembers() const {
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

void StaticFleetSimulation::HandleEffect(size_t instance, const Effect::PollStore& /*effect*/) {
  const uint64_t incarnation = m_instances[instance].incarnation;
  RunAfter(RandomDelay(kMinNetworkDelay, kMaxNetworkDelay), [=, this] {
    if (!m_platform_available)
      return;
    const uint64_t generation = m_store_generation;
    DeliverEvent(instance, incarnation, [=, this]() -> Event::Any {
      return Event::ListsReceived{m_now, generation, m_lists};
    });
    DeliverEvent(instance, incarnation, [=, this]() -> Event::Any { return Event::StoreConfirmed{m_now, generation}; });
    DeliverEvent(instance, incarnation, [this]() -> Event::Any {
      return Event::DirectoryReceived{m_now, true, DirectoryMembers(), {}};
    });
  });
}

void StaticFleetSimulation::HandleEffect(size_t /*instance*/, const Effect::WatchStore& /*effect*/) {
  // Not simulated: instances that watch the store also poll it every second, and learn of changes that way.
}

void StaticFleetSimulation::HandleEffect(size_t /*instance*/, const Effect::RestoreLists& effect) {
  RunAfter(RandomDelay(kMinNetworkDelay, kMaxNetworkDelay), [this, generation = effect.generation] {
    if (m_platform_available && generation > m_store_generation)
      m_store_generation = generation;
  });
}

void StaticFleetSimulation::HandleEffect(size_t instance, const Effect::ClaimSeat& effect) {
  const TimePoint requested_at = m_now;
  const uint64_t incarnation = m_instances[instance].incarnation;
  RunAfter(RandomDelay(kMinNetworkDelay, kMaxNetworkDelay), [=, this] {
    if (!m_platform_available)
      return;
    ProbeSeat& seat = m_probe_seats[effect.seat];
    const bool free = seat.expires_at <= m_now;
    const bool held_by_requester =
        seat.holder == static_cast<int>(instance) && seat.incarnation == incarnation && !free;
    if (free || held_by_requester)
      seat = {static_cast<int>(instance), incarnation, m_now + kSeatTtl};
    const bool granted = free || held_by_requester;
    RunAfter(RandomDelay(kMinNetworkDelay, kMaxNetworkDelay), [=, this] {
      DeliverEvent(instance, incarnation, [=, this]() -> Event::Any {
        if (granted)
          return Event::SeatGranted{m_now, effect.seat, requested_at + kSeatValidity};
        return Event::SeatRefused{m_now, effect.seat};
      });
    });
  });
}

void StaticFleetSimulation::HandleEffect(size_t instance, const Effect::ReleaseSeat& effect) {
  ProbeSeat& seat = m_probe_seats[effect.seat];
  if (m_platform_available && seat.holder == static_cast<int>(instance))
    seat = ProbeSeat();
}

void StaticFleetSimulation::HandleEffect(size_t instance, const Effect::CloseListeners& /*effect*/) {
  // The process exits when its last call has ended, which the call deadline bounds.
  RunAfter(kCallDeadline + Millis(100), [this, instance, incarnation = m_instances[instance].incarnation] {
    if (m_instances[instance].incarnation != incarnation || m_instances[instance].state == nullptr)
      return;
    if (WasConnectedSince(instance, m_now - kCallDeadline) && m_instances[instance].state->CallsInProgress() > 0)
      ReportViolation(fmt::format("i{} still has calls in progress after a graceful stop", instance));
    Kill(instance);
  });
}

}  // namespace sassafras
