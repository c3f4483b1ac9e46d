#include "platform_link.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "base/error.h"
#include "captured_output.h"
#include "core/state_options.h"
#include "engine.h"
#include "lists/lists_document.h"
#include "manual_clock.h"
#include "mock_platform.h"
#include "null_control_sink.h"
#include "peers/peer_rpc.h"

namespace sassafras {
namespace {

using trompeloeil::_;

template <typename T>
boost::asio::awaitable<absl::StatusOr<T>> Ready(T value) {
  co_return value;
}

boost::asio::awaitable<absl::StatusOr<StoredValue>> Unreachable() {
  co_return MakeError(ErrorKind::kUnreachable, "platform: down", "wait");
}

boost::asio::awaitable<absl::StatusOr<StoredValue>> AnsweredWithStatus(int status) {
  co_return MakeError(ErrorKind::kOutcomeUnknown, "platform: HTTP status " + std::to_string(status), "wait");
}

StoredValue StoredDocument(uint64_t generation, int64_t revision) {
  ListsDocument document;
  document.generation = generation;
  document.changes = {"c" + std::to_string(generation)};
  document.plans_toml = "[[plan]]\nname = \"p\"\ncustomer = \"c\"\npath = \"/p\"\n";
  document.upstreams_toml =
      "[[service]]\nname = \"s\"\n[[endpoint]]\nname = \"e\"\nservice = \"s\"\naddress = \"127.0.0.1:9\"\nslots = 1\n"
      "[[permit]]\nplan = \"p\"\nservice = \"s\"\n";
  return {true, revision, *EncodeDocument(document)};
}

StoredValue RevisionOnly(int64_t revision) {
  return {true, revision, {}};
}

/** A PlatformLink on a mock platform, with a manual clock. */
struct Fixture {
  Fixture() : engine(StateOptions{.start = clock.Now()}, clock), link(context, engine, mock, mock, mock, rpc) {
    engine.SetControlSink(control);
  }

  void Run() {
    context.restart();
    context.run();
  }

  /** Polls once; the store returns `value`. */
  void PollOnce(const StoredValue& value) {
    REQUIRE_CALL(mock, ReadRevision()).RETURN(Ready(RevisionOnly(value.revision)));
    REQUIRE_CALL(mock, Read()).RETURN(Ready(value));
    REQUIRE_CALL(mock, List(_)).RETURN(Ready(DirectoryListing()));
    link.Poll();
    Run();
  }

  boost::asio::io_context context;
  ManualClock clock;
  NullControlSink control;
  MockPlatform mock;
  PeerRpc rpc;
  Engine engine;
  PlatformLink link;
};

TEST_CASE("lists from the platform take effect, and are read again only if they have changed") {
  Fixture fixture;
  fixture.PollOnce(StoredDocument(3, 10));
  CHECK(fixture.engine.GetState().Generation() == 3);
  REQUIRE_CALL(fixture.mock, ReadRevision()).RETURN(Ready(RevisionOnly(10)));
  REQUIRE_CALL(fixture.mock, List(_)).RETURN(Ready(DirectoryListing()));
  fixture.link.Poll();
  fixture.Run();
  CHECK(fixture.engine.GetState().Generation() == 3);
}

TEST_CASE("an older document does not replace a newer one and is overwritten at its own revision") {
  Fixture fixture;
  const StoredValue newer = StoredDocument(3, 10);
  fixture.PollOnce(newer);
  fixture.PollOnce(StoredDocument(2, 5));
  CHECK(fixture.engine.GetState().Generation() == 3);
  REQUIRE_CALL(fixture.mock, Read()).RETURN(Ready(StoredDocument(2, 5)));
  REQUIRE_CALL(fixture.mock, CompareAndSwap(5, newer.value)).RETURN(Ready(true));
  fixture.link.Restore(3);
  fixture.Run();
}

TEST_CASE("nothing is written back if the store already holds a newer document") {
  Fixture fixture;
  fixture.PollOnce(StoredDocument(3, 10));
  REQUIRE_CALL(fixture.mock, Read()).RETURN(Ready(StoredDocument(4, 11)));
  FORBID_CALL(fixture.mock, CompareAndSwap(_, _));
  fixture.link.Restore(3);
  fixture.Run();
}

TEST_CASE("invalid documents and outages leave the lists in force unchanged") {
  Fixture fixture;
  fixture.PollOnce(StoredDocument(3, 10));
  fixture.PollOnce({true, 11, "{\"generation\":9}"});
  CHECK(fixture.engine.GetState().Generation() == 3);
  REQUIRE_CALL(fixture.mock, ReadRevision()).RETURN(Unreachable());
  REQUIRE_CALL(fixture.mock, List(_)).RETURN(Ready(DirectoryListing()));
  fixture.link.Poll();
  fixture.Run();
  CHECK(fixture.engine.GetState().Generation() == 3);
  CHECK(fixture.link.FailureCount() == 1);
}

// Guards against the failure that a store that answers 429 or 503 looked like one that cannot be reached.
TEST_CASE("the log line of a store that is lost says with which status it answered") {
  Fixture fixture;
  fixture.PollOnce(StoredDocument(3, 10));
  REQUIRE_CALL(fixture.mock, ReadRevision()).RETURN(AnsweredWithStatus(429));
  REQUIRE_CALL(fixture.mock, List(_)).RETURN(Ready(DirectoryListing()));
  std::string log;
  {
    const CapturedOutput output;
    fixture.link.Poll();
    fixture.Run();
    log = output.Text();
  }
  CHECK(log.find("event=platform_unreachable") != std::string::npos);
  CHECK(log.find("HTTP status 429") != std::string::npos);
}

TEST_CASE("a seat lease is counted from the time before its claim was sent") {
  Fixture fixture;
  fixture.PollOnce(StoredDocument(1, 1));
  const TimePoint before = fixture.clock.Now();
  REQUIRE_CALL(fixture.mock, Claim(2u))
      .LR_SIDE_EFFECT(fixture.clock.Advance(std::chrono::seconds(2)))
      .RETURN(Ready(true));
  fixture.link.ClaimSeat(2);
  fixture.Run();
  const State& state = fixture.engine.GetState();
  CHECK(state.SeatsHeld(before + std::chrono::milliseconds(5'399)) == 1);
  CHECK(state.SeatsHeld(before + std::chrono::milliseconds(5'400)) == 0);
}

}  // namespace
}  // namespace sassafras
