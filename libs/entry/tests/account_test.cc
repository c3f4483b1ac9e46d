#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>

#include "base/system_clock.h"
#include "call_fixture.h"
#include "entry/bearer_token.h"
#include "entry/native_dialect.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/** An instance with one account, whose removed keys have no effect after 5 s, and one endpoint. */
struct Fixture {
  explicit Fixture(milliseconds limit = milliseconds(5'000)) : calls(dialect, MakeOptions(limit)) {
    calls.AddEndpoint(
        [this](asio::ip::tcp::socket& socket, const ScriptedEndpoint::Request& received) -> asio::awaitable<bool> {
          ++run_count;
          last_age = calls.GetEngine().GetState().KeyConfirmationAge(calls.GetClock().Peek());
          account = received["Sassafras-Account"];
          const bool written = co_await WriteBytes(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
          co_return written;
        });
    Account row;
    row.name = "one";
    row.keys = {"k"};
    calls.Serve(Repeat::kNever, std::chrono::seconds(10), {row});
  }

  void Confirm() {
    calls.GetEngine().Post(Event::StoreConfirmed{calls.GetClock().Peek(), 1, calls.GetEngine().BootTime()});
  }
  ReceivedAnswer Call(const std::string& path = "/x", const std::string& key = "k") {
    const std::string authorization = key.empty() ? "" : "Authorization: Bearer " + key + "\r\n";
    return calls.Send("GET " + path + " HTTP/1.1\r\nHost: h\r\n" + authorization + "\r\n");
  }

  static StateOptions MakeOptions(milliseconds limit) {
    StateOptions options = CallFixture::MakeOptions();
    options.key_revocation_limit = limit;
    return options;
  }

  NativeDialect dialect;
  CallFixture calls;
  size_t run_count = 0;
  /** Age of the confirmation when the endpoint received the latest request. */
  milliseconds last_age{};
  std::string account;
};

// Guards against a token that is taken from a malformed header, of which two servers may read two different keys.
TEST_CASE("a bearer token is read in any letter case of its scheme, and only if it is the only one") {
  const std::pair<std::string, std::string> rows[] = {
      {"Bearer abc", "abc"}, {"bearer abc", "abc"},     {"BEARER   abc", "abc"}, {"Bearer", ""},    {"Bearer ", ""},
      {"Bearer a b", ""},    {"Bearer a\tb", ""},       {"Bearerabc", ""},       {"Basic abc", ""}, {"", ""},
      {"abc", ""},           {"Bearer a, Bearer b", ""}};
  for (const auto& [value, token] : rows) {
    CAPTURE(value);
    HttpDialect::Fields fields;
    CHECK(ReadBearerToken(fields).empty());
    fields.set(http::field::authorization, value);
    CHECK(ReadBearerToken(fields) == token);
    fields.insert(http::field::authorization, value);
    CHECK(ReadBearerToken(fields).empty());
  }
}

// Guards against a request that is sent without the name of its account, because the confirmation lapsed between the
// check of its key and the writing of its head.
TEST_CASE("a pause before any step of a call lets no endpoint run it without the name of its account") {
  constexpr milliseconds kLapse{4'500};
  size_t runs = 0;
  bool pause_came = true;
  for (size_t reading = 1; pause_came; ++reading) {
    CAPTURE(reading);
    Fixture fixture;
    fixture.Confirm();
    fixture.calls.GetClock().PauseBefore(reading, kLapse);
    fixture.Call();
    runs += fixture.run_count;
    CHECK((fixture.run_count == 0 || fixture.account == "one"));
    pause_came = !fixture.calls.GetClock().IsPausePending();
  }
  CHECK(runs > 0);
}

// Guards against rejections without a time to send the request again, and against 401 for lists that may be outdated.
TEST_CASE("401 comes from current lists only, and 503 says when to send the request again") {
  Fixture fixture;
  const ReceivedAnswer unknown = fixture.Call("/x", "other");
  CHECK(unknown.status == 503);
  CHECK(unknown.headers["Sassafras-Reason"] == "lists_not_current");
  CHECK_FALSE(unknown.headers[http::field::retry_after].empty());
  const ReceivedAnswer unconfirmed = fixture.Call();
  CHECK(unconfirmed.status == 503);
  CHECK(unconfirmed.headers["Sassafras-Reason"] == "keys_not_confirmed");
  CHECK(unconfirmed.headers["Sassafras-Outcome"] == "not_run");
  CHECK_FALSE(unconfirmed.headers[http::field::retry_after].empty());
  CHECK(fixture.Call("/open/x", "").status == 200);
  fixture.Confirm();
  CHECK(fixture.Call("/x", "other").status == 401);
  CHECK(fixture.Call().status == 200);
  CHECK(fixture.account == "one");
}

/** A dialect that calls a lack of endpoints a client's excess. */
class TooManyRequestsDialect final : public NativeDialect {
 public:
  uint16_t HttpStatusFor(Reason /*reason*/) const override { return 429; }
};

// Guards against callers of an account above its quota that come again at once.
TEST_CASE("an answer 429 says when to send the request again") {
  const TooManyRequestsDialect dialect;
  CallFixture fixture(dialect);
  fixture.Serve(Repeat::kNever, std::chrono::seconds(10));
  const ReceivedAnswer answer = fixture.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(answer.status == 429);
  CHECK_FALSE(answer.headers[http::field::retry_after].empty());
}

// Guards against an account that endpoints learn from a key which may have been revoked.
TEST_CASE("on a public route, a key that cannot be confirmed names no account") {
  Fixture fixture;
  CHECK(fixture.Call("/open/x").status == 200);
  CHECK(fixture.account.empty());
  fixture.Confirm();
  CHECK(fixture.Call("/open/x").status == 200);
  CHECK(fixture.account == "one");
}

// Guards against a request that is written with a key revoked while the process was paused.
TEST_CASE("a pause before any step of a call lets no request with an old confirmation be written") {
  // A pause while the request is put together or is on its way cannot be seen in time.
  constexpr size_t kStepsOfSending = 3;
  size_t too_old = 0;
  size_t rejected = 0;
  bool pause_came = true;
  for (size_t reading = 1; pause_came; ++reading) {
    CAPTURE(reading);
    Fixture fixture;
    fixture.Confirm();
    fixture.calls.GetClock().PauseBefore(reading, milliseconds(4'500));
    const ReceivedAnswer answer = fixture.Call();
    too_old += fixture.run_count > 0 && fixture.last_age >= milliseconds(4'000) ? 1 : 0;
    rejected += answer.status == 503 ? 1 : 0;
    pause_came = !fixture.calls.GetClock().IsPausePending();
  }
  CHECK(too_old <= kStepsOfSending);
  CHECK(rejected > 2);
}

// Guards against the steady clock, which stands still while the machine is suspended.
TEST_CASE("a machine that was suspended honors no key before its lists are confirmed again") {
  Fixture fixture;
  fixture.Confirm();
  CHECK(fixture.Call().status == 200);
  fixture.calls.GetClock().Suspend(milliseconds(4'000));
  CHECK(fixture.Call().headers["Sassafras-Reason"] == "keys_not_confirmed");
  CHECK(fixture.run_count == 1);
  fixture.Confirm();
  CHECK(fixture.Call().status == 200);
}

// Guards against a read of the store that was begun before a suspension and counts from its end.
TEST_CASE("a read that a suspension interrupts confirms the lists as of its start") {
  Fixture fixture;
  const TimePoint started_at = fixture.calls.GetEngine().BootTime();
  fixture.calls.GetClock().Suspend(milliseconds(4'000));
  fixture.calls.GetEngine().Post(Event::StoreConfirmed{fixture.calls.GetClock().Peek(), 1, started_at});
  CHECK(fixture.Call().headers["Sassafras-Reason"] == "keys_not_confirmed");
}

// Guards against a suspension that is seen only by the next event, after the request was written.
TEST_CASE("a suspension while the endpoint is connected to is seen before the request is written") {
  Fixture fixture;
  fixture.Confirm();
  bool suspended = false;
  fixture.calls.GetEngine().SetQueueEmptyHook([&] {
    // The call has been dispatched, and its connection is not open yet.
    if (fixture.calls.GetEngine().GetState().CallsInProgress() > 0 && !std::exchange(suspended, true))
      fixture.calls.GetClock().Suspend(milliseconds(4'000));
  });
  CHECK(fixture.Call().headers["Sassafras-Reason"] == "keys_not_confirmed");
  CHECK(suspended);
  CHECK(fixture.run_count == 0);
}

// Guards against pauses of the process that are taken for a suspension of the machine, which would add up.
TEST_CASE("the time suspended of the real clock does not change while the machine runs") {
  const SystemClock clock;
  const Duration before = clock.TimeSuspended();
  CHECK(before >= -milliseconds(1));
  const Duration change = clock.TimeSuspended() - before;
  CHECK(change < milliseconds(2));
  CHECK(change > -milliseconds(2));
}

}  // namespace
}  // namespace sassafras
