#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "core/gossip_message.h"
#include "core/outcome.h"
#include "lists/lists.h"
#include "single_instance.h"

namespace sassafras {

/**
 * An instance with the accounts "a" (API keys "a1" and "a2") and "b" ("b1"), whose keys have no effect 5 s after they
 * were removed. Its only endpoint is "e".
 */
class AccountFixture {
 public:
  using Millis = SingleInstance::Millis;

  explicit AccountFixture(Millis limit = Millis(5'000)) : instance(MakeOptions(limit)) {
    instance.ReceiveLists(1, MakeLists());
    instance.ReceiveEndpoints({SingleInstance::MakeChange("e", 10)}, true, 10);
  }

  static Account MakeAccount(const std::string& name, std::vector<std::string> keys) {
    Account account;
    account.name = name;
    account.keys = std::move(keys);
    return account;
  }

  /** Lists with the plans "p", which needs a key, and "open" for path "/open/", which does not. */
  static Lists MakeLists() {
    Lists lists = SingleInstance::MakeLists("s");
    Plan open = lists.plans.front();
    open.name = "open";
    open.path_prefix = "/open/";
    open.is_public = true;
    lists.plans.push_back(open);
    lists.accounts = {MakeAccount("a", {"a1", "a2"}), MakeAccount("b", {"b1"})};
    return lists;
  }

  /** Delivers the end of a read of the store, begun `read_time` ago, that found the lists in use to be the latest. */
  void Confirm(Millis read_time = Millis(0)) {
    const TimePoint started_at = instance.Now() + suspended - read_time;
    instance.HandleEvent(Event::StoreConfirmed{instance.Now(), instance.GetState().Generation(), started_at});
  }

  /** Delivers a message of the peer "i1" with the same lists. */
  const Effects& ReceiveGossip(GossipMessage message) {
    message.sender.name = "i1";
    message.sender.failure_domain = "a";
    message.sender.incarnation = 1;
    message.sender.heartbeat = ++m_heartbeat;
    message.sender.address = "127.0.0.1:8";
    message.sender.peer_address = "127.0.0.1:9";
    if (message.generation == 0)
      message.generation = instance.GetState().Generation();
    return instance.HandleEvent(Event::GossipReceived{instance.Now(), std::move(message)});
  }

  /** Delivers a tick after `time`; returns the queries that the instance sends. */
  std::vector<Effect::SendGossip> Tick(Millis time = Millis(0)) {
    instance.Advance(time);
    std::vector<Effect::SendGossip> queries;
    m_polls = 0;
    for (const Effect::Any& effect : instance.HandleEvent(Event::Tick{instance.Now()})) {
      if (const auto* sent = std::get_if<Effect::SendGossip>(&effect); sent != nullptr && sent->message->ask != 0)
        queries.push_back(*sent);
      m_polls += std::holds_alternative<Effect::PollStore>(effect) ? 1 : 0;
      if (const auto* record = std::get_if<Effect::WriteLogRecord>(&effect))
        logged.push_back(record->record.kind);
    }
    return queries;
  }
  /** Reads of the store that the latest tick asked for. */
  size_t PollCount() const { return m_polls; }

  Event::CallArrived MakeCall(std::string_view key, std::string_view path = "/x") {
    Event::CallArrived event;
    event.now = instance.Now();
    event.ticket = ++m_ticket;
    event.fingerprint = m_ticket;
    event.plan = instance.GetState().FindPlan("", "GET", path);
    event.time_left = Millis(2'000);
    if (!key.empty()) {
      event.account = instance.GetState().FindAccount(key);
      event.api_key_hash = Hash64(key);
    }
    return event;
  }
  /** Name of the reason why a new call with the key is rejected; "accepted" if it is not. */
  std::string Call(std::string_view key, std::string_view path = "/x") {
    return Outcome(instance.HandleEvent(MakeCall(key, path)));
  }

  /** Name of the reason of the only rejection among the effects; "accepted" if there is none. */
  static std::string Outcome(const Effects& effects) {
    const auto rejections = SingleInstance::EffectsOfType<Effect::Reject>(effects);
    return rejections.empty() ? "accepted" : std::string(InfoOf(rejections.front().reason).name);
  }
  static size_t DispatchCount(const Effects& effects) {
    return SingleInstance::EffectsOfType<Effect::Dispatch>(effects).size();
  }

  SingleInstance instance;
  Duration suspended{};
  std::vector<LogRecord::Kind> logged;

 private:
  static StateOptions MakeOptions(Millis limit) {
    StateOptions options;
    options.key_revocation_limit = limit;
    return options;
  }

  uint64_t m_ticket = 0;
  uint32_t m_heartbeat = 0;
  size_t m_polls = 0;
};

}  // namespace sassafras
