#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/trompeloeil.hpp>

#include "base/error.h"
#include "core/gossip_message.h"
#include "core/state_options.h"
#include "endpoint_json.h"
#include "engine.h"
#include "fleet_link.h"
#include "http_types.h"
#include "lists/lists.h"
#include "manual_clock.h"
#include "net/deflate.h"
#include "null_control_sink.h"
#include "store/fleet_store.h"

namespace sassafras {
namespace {

using trompeloeil::_;

template <typename T>
using Reply = boost::asio::awaitable<absl::StatusOr<T>>;

/** Mock of the store. */
class MockFleetStore final : public FleetStore {
 public:
  MAKE_CONST_MOCK1(DecodePlans, absl::StatusOr<PlansSnapshot>(std::string_view), override);
  MAKE_MOCK1(ReadPlans, Reply<PlansSnapshot>(ReadConsistency), override);
  MAKE_MOCK2(WatchPlans, Reply<PlansSnapshot>(uint64_t, std::chrono::milliseconds), override);
  MAKE_MOCK1(ReadEndpoints, Reply<EndpointsUpdate>(ReadConsistency), override);
  MAKE_MOCK2(WatchEndpoints, Reply<EndpointsUpdate>(uint64_t, std::chrono::milliseconds), override);
  MAKE_MOCK0(ReadRoster, Reply<RosterSnapshot>(), override);
  MAKE_MOCK2(WriteRoster, Reply<RosterSnapshot>(const std::vector<Member>&, uint64_t), override);
};

/** A peer that answers one request with a fixed body. */
class Peer {
 public:
  Peer(asio::io_context& context, std::string body)
      : m_acceptor(context, {asio::ip::address_v4::loopback(), 0}), m_body(std::move(body)) {
    asio::co_spawn(context, Serve(), asio::detached);
  }
  std::string Address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

 private:
  asio::awaitable<void> Serve() {
    error_code error;
    beast::tcp_stream stream(m_acceptor.get_executor());
    co_await m_acceptor.async_accept(stream.socket(), AwaitWithError(error));
    beast::flat_buffer buffer;
    http::request<http::empty_body> request;
    co_await http::async_read(stream, buffer, request, AwaitWithError(error));
    http::response<http::string_body> answer(http::status::ok, 11);
    answer.body() = m_body;
    answer.prepare_payload();
    co_await http::async_write(stream, answer, AwaitWithError(error));
  }

  asio::ip::tcp::acceptor m_acceptor;
  std::string m_body;
};

template <typename T>
Reply<T> RefusedByStore() {
  co_return MakeError(ErrorKind::kUnreachable, "store: 503", "wait");
}

PlansSnapshot MakePlans(uint64_t generation) {
  PlansSnapshot plans;
  plans.generation = generation;
  plans.lists = std::make_shared<const Lists>();
  plans.document = "document";
  return plans;
}

struct Fixture {
  explicit Fixture(const StateOptions& options = Options()) : engine(options, clock) { engine.SetControlSink(control); }

  static StateOptions Options() {
    StateOptions options;
    options.discovery = true;
    return options;
  }

  asio::io_context context;
  ManualClock clock;
  NullControlSink control;
  Engine engine;
  std::shared_ptr<MockFleetStore> store = std::make_shared<MockFleetStore>();
  FleetLink link{context, engine, store};
};

TEST_CASE("an instance that the store refuses fetches the plans from the peer that announced them") {
  Fixture fixture;
  Peer peer(fixture.context, Deflate("document"));
  REQUIRE_CALL(*fixture.store, DecodePlans("document")).RETURN(MakePlans(7));
  fixture.link.OnEffect(Effect::FetchLists{peer.Address(), 7});
  fixture.context.run();
  CHECK(fixture.engine.GetState().Generation() == 7);
}

TEST_CASE("plans from a peer that are older than those in force are ignored") {
  Fixture fixture;
  fixture.engine.Post(Event::ListsReceived{fixture.clock.Now(), 9, std::make_shared<const Lists>()});
  Peer peer(fixture.context, Deflate("document"));
  REQUIRE_CALL(*fixture.store, DecodePlans("document")).RETURN(MakePlans(7));
  fixture.link.OnEffect(Effect::FetchLists{peer.Address(), 0});
  fixture.context.run();
  CHECK(fixture.engine.GetState().Generation() == 9);
}

TEST_CASE("plans from a peer that were cut off are not used; the store is read") {
  Fixture fixture;
  const std::string stream = Deflate("document");
  Peer peer(fixture.context, stream.substr(0, stream.size() - 2));
  FORBID_CALL(*fixture.store, DecodePlans(_));
  REQUIRE_CALL(*fixture.store, ReadPlans(ReadConsistency::kLinearizable)).RETURN([]() -> Reply<PlansSnapshot> {
    co_return MakePlans(8);
  }());
  fixture.link.OnEffect(Effect::FetchLists{peer.Address(), 8});
  fixture.context.run();
  CHECK(fixture.engine.GetState().Generation() == 8);
}

TEST_CASE("plans are served to peers compressed, and plain to those of an earlier version") {
  Fixture fixture;
  Peer peer(fixture.context, Deflate("document"));
  REQUIRE_CALL(*fixture.store, DecodePlans("document")).RETURN(MakePlans(7));
  fixture.link.OnEffect(Effect::FetchLists{peer.Address(), 7});
  fixture.context.run();
  const auto compressed = fixture.link.Render("/sassafras/peer/plans.deflate", fixture.engine.GetState());
  const auto plain = fixture.link.Render("/sassafras/peer/plans", fixture.engine.GetState());
  REQUIRE(compressed.has_value());
  REQUIRE(plain.has_value());
  CHECK(compressed->body == Deflate("document"));
  CHECK(plain->body == "document");
}

TEST_CASE("the store is read if the peer is unreachable") {
  Fixture fixture;
  REQUIRE_CALL(*fixture.store, ReadPlans(ReadConsistency::kLinearizable)).RETURN([]() -> Reply<PlansSnapshot> {
    co_return MakePlans(8);
  }());
  fixture.link.OnEffect(Effect::FetchLists{"127.0.0.1:1", 8});
  fixture.context.run();
  CHECK(fixture.engine.GetState().Generation() == 8);
}

TEST_CASE("an instance that cannot read the endpoints from the store fetches them from a peer") {
  Fixture fixture;
  EndpointChange endpoint;
  endpoint.row = {"e", "s", "127.0.0.1:80", "a", 6, 0};
  endpoint.revision = 30;
  Peer peer(fixture.context, EncodeEndpoints({endpoint}, 33, std::chrono::milliseconds(100)));
  REQUIRE_CALL(*fixture.store, ReadEndpoints(ReadConsistency::kLinearizable)).RETURN(RefusedByStore<EndpointsUpdate>());
  Effect::ReadEndpoints read;
  read.whole = true;
  read.peer_address = peer.Address();
  fixture.link.OnEffect(read);
  fixture.context.run();
  CHECK(fixture.engine.GetState().EndpointsAsOf() == 33);
  REQUIRE(fixture.engine.GetState().KnownEndpoints().size() == 1);
}

/** A read of the store that takes `time` and ends with `plans`. */
Reply<PlansSnapshot> ReadFor(ManualClock& clock, std::chrono::milliseconds time, absl::StatusOr<PlansSnapshot> plans) {
  clock.Advance(time);
  co_return plans;
}

/** Age of the confirmation that API keys need. */
std::chrono::milliseconds ConfirmationAge(const Fixture& fixture) {
  return fixture.engine.GetState().KeyConfirmationAge(fixture.clock.Now());
}

// Guards against a revoked key that works for longer because the read that did not see its removal took long.
TEST_CASE("a read of the plans confirms them as of its start, and only if it cannot lag") {
  using std::chrono::milliseconds;
  Fixture fixture;
  REQUIRE_CALL(*fixture.store, ReadPlans(ReadConsistency::kSerializable))
      .LR_RETURN(ReadFor(fixture.clock, milliseconds(300), MakePlans(7)));
  fixture.link.OnEffect(Effect::PollStore{true});
  fixture.context.run();
  CHECK(ConfirmationAge(fixture) == GossipMessage::kMaxAge);
  REQUIRE_CALL(*fixture.store, ReadPlans(ReadConsistency::kLinearizable))
      .LR_RETURN(ReadFor(fixture.clock, milliseconds(800), MakePlans(7)));
  fixture.link.OnEffect(Effect::PollStore{});
  fixture.context.restart();
  fixture.context.run();
  CHECK(ConfirmationAge(fixture) == milliseconds(800));
  // The machine is suspended during the next read, and the one after it fails.
  REQUIRE_CALL(*fixture.store, ReadPlans(ReadConsistency::kLinearizable))
      .LR_SIDE_EFFECT(fixture.clock.Suspend(milliseconds(600)))
      .LR_RETURN(ReadFor(fixture.clock, milliseconds(100), MakePlans(7)));
  fixture.link.OnEffect(Effect::PollStore{});
  fixture.context.restart();
  fixture.context.run();
  CHECK(ConfirmationAge(fixture) == milliseconds(700));
  REQUIRE_CALL(*fixture.store, ReadPlans(ReadConsistency::kLinearizable)).RETURN(RefusedByStore<PlansSnapshot>());
  fixture.link.OnEffect(Effect::PollStore{});
  fixture.context.restart();
  fixture.context.run();
  CHECK(ConfirmationAge(fixture) == milliseconds(700));
}

/** Plans of generation 7 with an account. */
PlansSnapshot MakePlansWithAccount() {
  PlansSnapshot plans = MakePlans(7);
  Lists lists;
  Account account;
  account.name = "a";
  account.keys = {"k"};
  lists.accounts.push_back(account);
  plans.lists = std::make_shared<const Lists>(lists);
  plans.as_of = 20;
  return plans;
}

// Guards against a watch so long that its confirmation is too old for API keys when it ends, against more watches than
// other deployments need, and against a watch that finds plans it cannot decode and confirms the former ones.
TEST_CASE("a watch confirms the plans as of its start, unless the latest ones cannot be decoded") {
  using std::chrono::milliseconds;
  for (const milliseconds limit : {milliseconds(0), milliseconds(5'000)}) {
    StateOptions options = Fixture::Options();
    options.key_revocation_limit = limit;
    Fixture fixture(options);
    const milliseconds wait(limit.count() > 0 ? 700 : 4'400);
    PlansSnapshot none;
    none.as_of = 21;
    PlansSnapshot damaged;
    damaged.as_of = 22;
    damaged.plans_status = MakeError(ErrorKind::kInvalidSyntax, "op/config: no JSON", "mend it");
    trompeloeil::sequence order;
    REQUIRE_CALL(*fixture.store, ReadPlans(ReadConsistency::kLinearizable))
        .IN_SEQUENCE(order)
        .LR_RETURN(ReadFor(fixture.clock, milliseconds(100), MakePlansWithAccount()));
    REQUIRE_CALL(*fixture.store, WatchPlans(20, wait))
        .IN_SEQUENCE(order)
        .LR_SIDE_EFFECT(CHECK(ConfirmationAge(fixture) == milliseconds(100)))
        .LR_RETURN(ReadFor(fixture.clock, wait, none));
    REQUIRE_CALL(*fixture.store, WatchPlans(21, wait))
        .IN_SEQUENCE(order)
        .LR_SIDE_EFFECT(CHECK(ConfirmationAge(fixture) == wait))
        .LR_RETURN(ReadFor(fixture.clock, milliseconds(50), damaged));
    REQUIRE_CALL(*fixture.store, WatchPlans(22, wait))
        .IN_SEQUENCE(order)
        .LR_SIDE_EFFECT(CHECK(ConfirmationAge(fixture) == wait + milliseconds(50)))
        .LR_RETURN(ReadFor(fixture.clock, wait, none));
    REQUIRE_CALL(*fixture.store, WatchPlans(22, wait))
        .IN_SEQUENCE(order)
        .LR_SIDE_EFFECT(CHECK(ConfirmationAge(fixture) == wait + wait + milliseconds(50)))
        .LR_SIDE_EFFECT(fixture.link.OnStopRequested())
        .LR_RETURN(ReadFor(fixture.clock, milliseconds(10), MakePlansWithAccount()));
    fixture.link.OnEffect(Effect::WatchStore{true});
    fixture.context.run();
    CHECK(ConfirmationAge(fixture) == milliseconds(10));
  }
}

// Guards against evacuations that are read and not passed on, alone or beside plans that cannot be decoded.
TEST_CASE("the evacuated failure domains of a read are in force, also beside unusable plans") {
  Fixture fixture;
  PlansSnapshot read;
  read.as_of = 40;
  read.plans_status = MakeError(ErrorKind::kInvalidSyntax, "op/config: no JSON", "mend it");
  read.evacuations = {40, {"a"}};
  REQUIRE_CALL(*fixture.store, ReadPlans(ReadConsistency::kLinearizable))
      .RETURN([](PlansSnapshot snapshot) -> Reply<PlansSnapshot> { co_return snapshot; }(read));
  fixture.link.OnEffect(Effect::PollStore{false});
  fixture.context.run();
  const State& state = fixture.engine.GetState();
  CHECK(state.EvacuatedDomains() == std::vector<std::string>{"a"});
  CHECK(state.EvacuationsAsOf() == 40);
  CHECK(state.Generation() == 0);
  // Unusable plans do not confirm those in force.
  CHECK(state.ListsAge(fixture.clock.Now()) ==
        std::chrono::duration_cast<std::chrono::milliseconds>(fixture.clock.Now() - TimePoint()));
}

// Guards against an instance that takes the endpoints from a peer and sends those in warm-up their usual load.
TEST_CASE("the warm-up of endpoints survives the exchange between peers, and peers of an earlier version state none") {
  EndpointChange endpoint;
  endpoint.row = {"e", "s", "127.0.0.1:80", "a", 6, 0};
  endpoint.revision = 30;
  endpoint.warmup = std::chrono::milliseconds(2'500);
  std::string text = EncodeEndpoints({endpoint}, 33, std::chrono::milliseconds(100));
  const auto decoded = DecodeEndpoints(text);
  REQUIRE(decoded.ok());
  CHECK(decoded->changes.at(0).warmup == endpoint.warmup);
  const std::string field = ",\"warmup_ms\":2500";
  REQUIRE(text.find(field) != std::string::npos);
  text.erase(text.find(field), field.size());
  const auto earlier = DecodeEndpoints(text);
  REQUIRE(earlier.ok());
  CHECK(earlier->changes.at(0).warmup == std::chrono::milliseconds(0));
}

TEST_CASE("malformed endpoints from a peer are an error, not an empty list") {
  for (const char* text : {"", "{}", "[1]", R"({"as_of":1,"age_ms":0,"endpoints":[{"name":"e"}]})"}) {
    CAPTURE(text);
    CHECK_FALSE(DecodeEndpoints(text).ok());
  }
}

}  // namespace
}  // namespace sassafras
