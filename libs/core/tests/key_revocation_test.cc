#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>

#include "account_fixture.h"

namespace sassafras {
namespace {

using Millis = SingleInstance::Millis;

/** Makes the peer "i1" known to the instance and returns the query that the instance then sends to it. */
GossipMessage ReceiveFirstQuery(AccountFixture& fixture) {
  fixture.ReceiveGossip({});
  for (int i = 0; i < 100; ++i) {
    for (const Effect::SendGossip& query : fixture.Tick(Millis(20))) {
      if (query.peer_address == "127.0.0.1:9")
        return *query.message;
    }
  }
  FAIL("no query was sent");
  return {};
}

GossipMessage MakeReply(const GossipMessage& query, Millis age) {
  GossipMessage reply;
  reply.reply_to = query.ask;
  reply.lists_confirmed_age = age;
  return reply;
}

/** Delivers the lists of generation 2, in which account "a" has no key "a1" any more. */
void RevokeFirstKey(AccountFixture& fixture) {
  Lists lists = AccountFixture::MakeLists();
  lists.accounts.front().keys = {"a2"};
  fixture.instance.ReceiveLists(2, lists);
  fixture.Confirm();
}

// Guards against a revoked key that still works on an instance which does not hear of its removal.
TEST_CASE("calls with keys are rejected 4 s after the start of the read that confirmed the lists") {
  AccountFixture fixture;
  CHECK(fixture.Call("a1") == "keys_not_confirmed");
  fixture.Confirm(Millis(1'000));
  CHECK(fixture.Call("a1") == "accepted");
  fixture.instance.Advance(Millis(2'999));
  CHECK(fixture.Call("a1") == "accepted");
  fixture.instance.Advance(Millis(1));
  CHECK(fixture.Call("a1") == "keys_not_confirmed");
  CHECK(fixture.Call("", "/open/x") == "accepted");
}

// Guards against a rejection that says the request may have run, or that gives no time to send it again.
TEST_CASE("a call rejected for an old confirmation has not run and may be sent again") {
  AccountFixture fixture;
  const auto rejections =
      SingleInstance::EffectsOfType<Effect::Reject>(fixture.instance.HandleEvent(fixture.MakeCall("a1")));
  REQUIRE(rejections.size() == 1);
  CHECK(InfoOf(rejections.front().reason).http_status == 503);
  CHECK(InfoOf(rejections.front().reason).outcome == Outcome::kNotRun);
  CHECK(rejections.front().retry_after > Millis(0));
}

// Guards against 401 for a valid key from an instance that cannot tell whether the key is new.
TEST_CASE("an unknown key is not called so while the confirmation is too old") {
  AccountFixture fixture;
  fixture.Confirm();
  CHECK(fixture.Call("c1") == "unauthorized");
  fixture.instance.Advance(Millis(4'000));
  CHECK(fixture.Call("c1") == "lists_not_current");
}

// Guards against confirmations without a known start, such as data that a read began to wait for before a pause.
TEST_CASE("a confirmation of the store without the start of its read does not count") {
  AccountFixture fixture;
  fixture.instance.HandleEvent(Event::StoreConfirmed{fixture.instance.Now(), 1});
  CHECK(fixture.Call("a1") == "keys_not_confirmed");
}

// Guards against a datagram that waited in a socket while this instance or its peer was frozen.
TEST_CASE("what a peer says unasked confirms nothing, however young it looks") {
  AccountFixture fixture;
  GossipMessage message;
  message.store_age = Millis(0);
  message.lists_confirmed_age = Millis(0);
  fixture.ReceiveGossip(message);
  CHECK(fixture.Call("a1") == "keys_not_confirmed");
  message.reply_to = 12'345;
  fixture.ReceiveGossip(message);
  CHECK(fixture.Call("a1") == "keys_not_confirmed");
}

// Guards against a reply that makes a confirmation look younger by the time that it travelled or was held up.
TEST_CASE("a reply to a query confirms the lists as of the query minus the age that the peer states") {
  AccountFixture fixture;
  const GossipMessage query = ReceiveFirstQuery(fixture);
  fixture.instance.Advance(Millis(200));
  fixture.ReceiveGossip(MakeReply(query, Millis(1'000)));
  CHECK(fixture.instance.GetState().KeyConfirmationAge(fixture.instance.Now()) == Millis(1'200));
  CHECK(fixture.Call("a1") == "accepted");
  fixture.instance.Advance(Millis(2'799));
  CHECK(fixture.Call("a1") == "accepted");
  fixture.instance.Advance(Millis(1));
  CHECK(fixture.Call("a1") == "keys_not_confirmed");
}

// Guards against a reply that lay in the socket of a frozen instance and is read when it runs again.
TEST_CASE("an instance that was frozen after its query takes the reply for as old as it is") {
  AccountFixture fixture;
  const GossipMessage query = ReceiveFirstQuery(fixture);
  fixture.instance.Advance(Millis(10'000));
  fixture.ReceiveGossip(MakeReply(query, Millis(0)));
  CHECK(fixture.Call("a1") == "keys_not_confirmed");
}

// Guards against a chain of peers cut off from the store that keep each other's confirmation young.
TEST_CASE("an instance states to its peers how old its own confirmation is") {
  AccountFixture fixture;
  const auto stated_age = [&] {
    GossipMessage query;
    query.ask = 77;
    for (const auto& sent : SingleInstance::EffectsOfType<Effect::SendGossip>(fixture.ReceiveGossip(query))) {
      if (sent.message->reply_to == 77)
        return sent.message->lists_confirmed_age;
    }
    FAIL("no reply");
    return Millis(0);
  };
  CHECK(stated_age() == GossipMessage::kMaxAge);
  fixture.Confirm(Millis(300));
  fixture.instance.Advance(Millis(500));
  CHECK(stated_age() == Millis(800));
  const GossipMessage query = ReceiveFirstQuery(fixture);
  const Millis before = fixture.instance.GetState().KeyConfirmationAge(fixture.instance.Now());
  fixture.ReceiveGossip(MakeReply(query, Millis(100'000)));
  CHECK(fixture.instance.GetState().KeyConfirmationAge(fixture.instance.Now()) == before);
}

// Guards against a confirmation of newer lists than those that this instance uses.
TEST_CASE("a peer with newer lists confirms nothing, and neither does the store while a peer announces newer ones") {
  AccountFixture fixture;
  const GossipMessage query = ReceiveFirstQuery(fixture);
  GossipMessage reply = MakeReply(query, Millis(0));
  reply.generation = 2;
  fixture.ReceiveGossip(reply);
  CHECK(fixture.Call("a1") == "keys_not_confirmed");
  // As after a restore of the store, which has lost generation 2.
  fixture.Confirm();
  CHECK(fixture.Call("a1") == "keys_not_confirmed");
  RevokeFirstKey(fixture);
  CHECK(fixture.Call("a1") == "unauthorized");
  CHECK(fixture.Call("a2") == "accepted");
}

// Guards against a key that works on after the steady clock stood still while its machine was suspended.
TEST_CASE("the time for which the machine was suspended adds to the age of the confirmation") {
  AccountFixture fixture;
  fixture.Confirm();
  const auto suspend = [&](Millis total) {
    fixture.suspended = total;
    fixture.instance.HandleEvent(Event::SuspensionNoticed{fixture.instance.Now(), total});
  };
  suspend(Millis(3'900));
  CHECK(fixture.Call("a1") == "accepted");
  suspend(Millis(4'000));
  CHECK(fixture.Call("a1") == "keys_not_confirmed");
  fixture.Confirm();
  CHECK(fixture.Call("a1") == "accepted");
  const GossipMessage query = ReceiveFirstQuery(fixture);
  suspend(Millis(20'000));
  fixture.ReceiveGossip(MakeReply(query, Millis(0)));
  CHECK(fixture.Call("a1") == "keys_not_confirmed");
}

// Guards against a call that waits for the load reports of endpoints and runs with a key revoked meanwhile.
TEST_CASE("a call whose key is revoked while it waits is not sent") {
  AccountFixture fixture;
  fixture.Confirm();
  const auto probes =
      SingleInstance::EffectsOfType<Effect::SendProbe>(fixture.instance.HandleEvent(fixture.MakeCall("a1")));
  REQUIRE(probes.size() == 1);
  RevokeFirstKey(fixture);
  const Effects& effects = fixture.instance.AnswerProbe(probes.front(), 0, 1);
  CHECK(AccountFixture::DispatchCount(effects) == 0);
  CHECK(AccountFixture::Outcome(effects) == "unauthorized");
}

// Guards against a call that waits for long in an instance that is cut off.
TEST_CASE("a call whose confirmation lapses while it waits is not sent") {
  AccountFixture fixture;
  fixture.Confirm(Millis(3'990));
  const auto probes =
      SingleInstance::EffectsOfType<Effect::SendProbe>(fixture.instance.HandleEvent(fixture.MakeCall("a1")));
  REQUIRE(probes.size() == 1);
  fixture.instance.Advance(Millis(10));
  const Effects& effects = fixture.instance.AnswerProbe(probes.front(), 0, 1);
  CHECK(AccountFixture::DispatchCount(effects) == 0);
  CHECK(AccountFixture::Outcome(effects) == "keys_not_confirmed");
}

/** Sends a call with key "a1" and dispatches it; returns the dispatch. */
Effect::Dispatch DispatchCall(AccountFixture& fixture) {
  const auto probes =
      SingleInstance::EffectsOfType<Effect::SendProbe>(fixture.instance.HandleEvent(fixture.MakeCall("a1")));
  REQUIRE(probes.size() == 1);
  const auto dispatches =
      SingleInstance::EffectsOfType<Effect::Dispatch>(fixture.instance.AnswerProbe(probes.front(), 0, 1));
  REQUIRE(dispatches.size() == 1);
  return dispatches.front();
}

// Guards against a request that is written after its key was revoked, while it was connecting.
TEST_CASE("a dispatched call may be written only while its key is valid and confirmed") {
  AccountFixture fixture;
  fixture.Confirm();
  const Effect::Dispatch dispatch = DispatchCall(fixture);
  const State& state = fixture.instance.GetState();
  CHECK(state.MaySendWithKey(dispatch.call, fixture.instance.Now()));
  CHECK(state.MaySendWithKey(dispatch.call, fixture.instance.Now() + Millis(3'999)));
  CHECK_FALSE(state.MaySendWithKey(dispatch.call, fixture.instance.Now() + Millis(4'000)));
  RevokeFirstKey(fixture);
  CHECK_FALSE(state.MaySendWithKey(dispatch.call, fixture.instance.Now()));
}

// Guards against a retry with a revoked key, and against "not run" for a request that may have run.
TEST_CASE("a call whose key was revoked is not retried, and is said to have run if it may have") {
  for (const auto& [result, outcome] :
       {std::pair(AttemptResult::kWithdrawn, "unauthorized"), std::pair(AttemptResult::kBroken, "connection_broken")}) {
    AccountFixture fixture;
    fixture.instance.ReceiveEndpoints({SingleInstance::MakeChange("f", 11)}, false, 11);
    fixture.Confirm();
    const auto probes =
        SingleInstance::EffectsOfType<Effect::SendProbe>(fixture.instance.HandleEvent(fixture.MakeCall("a1")));
    REQUIRE_FALSE(probes.empty());
    const auto dispatches =
        SingleInstance::EffectsOfType<Effect::Dispatch>(fixture.instance.AnswerProbe(probes.front(), 0, 1));
    REQUIRE(dispatches.size() == 1);
    RevokeFirstKey(fixture);
    Event::AttemptEnded ended;
    ended.now = fixture.instance.Now();
    ended.call = dispatches.front().call;
    ended.endpoint = dispatches.front().endpoint;
    ended.result = result;
    const Effects& effects = fixture.instance.HandleEvent(ended);
    CHECK(SingleInstance::EffectsOfType<Effect::SendProbe>(effects).empty());
    CHECK(AccountFixture::DispatchCount(effects) == 0);
    CHECK(AccountFixture::Outcome(effects) == outcome);
  }
}

// Guards against a call that runs under the name and limits of an account that has lost the key.
TEST_CASE("a call whose key moves to another account while it waits is not sent, and may be sent again") {
  AccountFixture fixture;
  fixture.Confirm();
  const auto probes =
      SingleInstance::EffectsOfType<Effect::SendProbe>(fixture.instance.HandleEvent(fixture.MakeCall("a1")));
  REQUIRE(probes.size() == 1);
  Lists lists = AccountFixture::MakeLists();
  lists.accounts = {AccountFixture::MakeAccount("a", {"a2"}), AccountFixture::MakeAccount("b", {"b1", "a1"})};
  fixture.instance.ReceiveLists(2, lists);
  fixture.Confirm();
  CHECK(AccountFixture::Outcome(fixture.instance.AnswerProbe(probes.front(), 0, 1)) == "keys_not_confirmed");
  CHECK(fixture.Call("a1") == "accepted");
}

// Guards against addresses of an instance that rejects most calls, and against an instance that stays out for good.
TEST_CASE("an instance that cannot confirm keys leaves its own address answers and comes back by itself") {
  AccountFixture fixture;
  fixture.Confirm();
  fixture.ReceiveGossip({});
  const auto serves = [&] {
    const auto members = fixture.instance.GetState().ServingMembers();
    return std::any_of(members.begin(), members.end(), [](const Member& member) { return member.name == "i0"; });
  };
  fixture.Tick();
  CHECK(serves());
  for (int second = 0; second < 6; ++second) {
    fixture.ReceiveGossip({});
    fixture.Tick(Millis(999));
  }
  CHECK_FALSE(serves());
  CHECK(std::count(fixture.logged.begin(), fixture.logged.end(), LogRecord::Kind::kKeysNotConfirmed) == 1);
  CHECK(std::count(fixture.logged.begin(), fixture.logged.end(), LogRecord::Kind::kKeysConfirmed) == 0);
  fixture.Confirm();
  fixture.Tick(Millis(1'000));
  fixture.Tick(Millis(999));
  CHECK(serves());
  CHECK(std::count(fixture.logged.begin(), fixture.logged.end(), LogRecord::Kind::kKeysNotConfirmed) == 1);
  CHECK(std::count(fixture.logged.begin(), fixture.logged.end(), LogRecord::Kind::kKeysConfirmed) == 1);
}

/** A fleet in which the peer "i1" and others in its failure domain are alive and the store does not answer. */
struct FleetWithoutStore {
  explicit FleetWithoutStore(size_t fleet_size) : size(fleet_size) { fixture.Confirm(); }

  /** Runs for `time`; `i1` replies to queries if `replies`, and states that its confirmation is `age` old. */
  void Run(Millis time, bool replies, Millis age) {
    constexpr Millis kStep{50};
    for (Millis passed{0}; passed < time; passed += kStep) {
      GossipMessage message;
      for (size_t i = 2; i <= size; ++i)
        message.members.push_back(MakeMember(i));
      fixture.ReceiveGossip(message);
      const auto queries = fixture.Tick(kStep);
      polls += fixture.PollCount();
      for (const Effect::SendGossip& query : queries) {
        other_domain_queries += query.peer_address == kOtherDomainAddress ? 1 : 0;
        if (replies && query.peer_address != kOtherDomainAddress)
          fixture.ReceiveGossip(MakeReply(*query.message, age));
      }
    }
  }

  Member MakeMember(size_t number) {
    Member member;
    member.name = "i" + std::to_string(number);
    member.failure_domain = number == 2 ? "other" : "a";
    member.peer_address = number == 2 ? kOtherDomainAddress : "127.0.0.1:" + std::to_string(100 + number);
    member.incarnation = 1;
    member.heartbeat = ++m_heartbeat;
    return member;
  }

  static constexpr const char* kOtherDomainAddress = "127.0.0.1:2";
  AccountFixture fixture;
  size_t size;
  size_t polls = 0;
  size_t other_domain_queries = 0;

 private:
  uint32_t m_heartbeat = 0;
};

// Guards against an instance that waits for a watcher which is gone until its confirmation has lapsed.
TEST_CASE("an instance whose confirmation is old and whose watcher does not reply reads the store itself") {
  FleetWithoutStore fleet(3);
  fleet.Run(Millis(2'400), false, Millis(0));
  const size_t polls_before = fleet.polls;
  CHECK(fleet.other_domain_queries == 0);
  fleet.Run(Millis(1'500), false, Millis(0));
  CHECK(fleet.polls > polls_before);
  CHECK(fleet.other_domain_queries >= 1);
  CHECK(fleet.other_domain_queries <= 2);
}

// Guards against a whole fleet that reads the store each second from the moment when it is down.
TEST_CASE("while nobody has a confirmation, the fleet polls the store at a rate that does not grow with its size") {
  FleetWithoutStore fleet(60);
  fleet.Run(Millis(60'000), true, Millis(100'000));
  CHECK_FALSE(fleet.fixture.instance.GetState().AreKeysConfirmed(fleet.fixture.instance.Now()));
  // Two polls a second of 60 instances are two polls a minute of each.
  CHECK(fleet.polls <= 8);
}

// Guards against reads of the store by each instance although its watcher confirms the lists in time.
TEST_CASE("an instance whose watcher replies in time neither reads the store nor queries other failure domains") {
  FleetWithoutStore fleet(20);
  fleet.Run(Millis(20'000), true, Millis(1'000));
  CHECK(fleet.fixture.instance.GetState().AreKeysConfirmed(fleet.fixture.instance.Now()));
  CHECK(fleet.polls == 0);
  CHECK(fleet.other_domain_queries == 0);
}

// Guards against a failure domain that is cut off from the store and has no other source of confirmations.
TEST_CASE("the reply of a member of another failure domain confirms the lists") {
  FleetWithoutStore fleet(5);
  fleet.Run(Millis(5'000), true, Millis(100'000));
  CHECK(fleet.fixture.Call("a1") == "keys_not_confirmed");
  for (int i = 0; i < 50; ++i) {
    fleet.fixture.ReceiveGossip({});
    for (const Effect::SendGossip& query : fleet.fixture.Tick(Millis(50))) {
      if (query.peer_address == FleetWithoutStore::kOtherDomainAddress)
        fleet.fixture.ReceiveGossip(MakeReply(*query.message, Millis(0)));
    }
  }
  CHECK(fleet.fixture.Call("a1") == "accepted");
}

// Guards against a message from before a query that is taken for its reply: its age was stated before the query.
TEST_CASE("while a query waits for its reply, no other message confirms the lists") {
  FleetWithoutStore fleet(5);
  fleet.Run(Millis(5'000), false, Millis(0));
  CHECK(fleet.other_domain_queries > 0);
  for (const uint64_t id : {0, 12'345}) {
    GossipMessage other;
    other.reply_to = id;
    other.lists_confirmed_age = Millis(0);
    fleet.fixture.ReceiveGossip(other);
    CHECK(fleet.fixture.Call("a1") == "keys_not_confirmed");
  }
}

// Guards against an empty address answer of an instance that knows no other: its public routes would be out of reach.
TEST_CASE("an instance that cannot confirm keys and knows no other names itself") {
  AccountFixture fixture;
  fixture.Tick();
  CHECK_FALSE(fixture.instance.GetState().AreKeysConfirmed(fixture.instance.Now()));
  CHECK(fixture.instance.GetState().ServingMembers().size() == 1);
}

}  // namespace
}  // namespace sassafras
