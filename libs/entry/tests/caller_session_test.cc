#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include "admin_pages.h"
#include "base/counters.h"
#include "caller_session.h"
#include "core/state_options.h"
#include "engine.h"
#include "entry/native_dialect.h"
#include "lists/lists.h"
#include "manual_clock.h"
#include "settings/settings.h"
#include "upstream_pool.h"

namespace sassafras {
namespace {

/** A session at one end of a loopback connection, and a caller at the other. */
struct Fixture {
  Fixture() : engine(StateOptions(), clock), pool(context.get_executor(), clock), caller(context) {
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    caller.connect(acceptor.local_endpoint());
    session = std::make_shared<CallerSession>(acceptor.accept(), engine, pool, dialect, admin, SessionKind::kCalls,
                                              std::chrono::milliseconds(100));
    asio::co_spawn(
        context, [kept = session] { return kept->Run(); }, asio::detached);
    context.poll();
  }

  /** Runs all ready handlers and returns the bytes that the caller has received. */
  std::string Received() {
    context.restart();
    context.poll();
    caller.non_blocking(true);
    std::string text(4'096, '\0');
    error_code error;
    text.resize(caller.read_some(asio::buffer(text), error));
    return text;
  }

  asio::io_context context;
  ManualClock clock;
  NativeDialect dialect;
  Engine engine;
  UpstreamPool pool;
  Settings settings;
  Counters counters;
  AdminPages admin{engine, settings, counters, nullptr, [] {}};
  asio::ip::tcp::socket caller;
  std::shared_ptr<CallerSession> session;
};

TEST_CASE("a request that arrives just before its idle connection is closed is still answered") {
  Fixture fixture;
  asio::write(fixture.caller, asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));
  fixture.session->Close();
  CHECK(fixture.Received().starts_with("HTTP/1.1 503"));
}

/** Lists with a small limit on bodies. */
std::shared_ptr<const Lists> MakeSmallLimits() {
  auto lists = std::make_shared<Lists>();
  lists->limits.body_bytes = 100;
  return lists;
}

/** Runs the session to its end and returns what the caller has received. */
std::string ReceiveResponse(Fixture& fixture) {
  fixture.context.restart();
  fixture.context.run();
  return fixture.Received();
}

// Guards against 400, which does not say what is wrong, for a body above the limit.
TEST_CASE("a request with a chunked body above the limit gets 413, not 400") {
  Fixture fixture;
  fixture.engine.Post(Event::ListsReceived{fixture.clock.Now(), 1, MakeSmallLimits()});
  asio::write(fixture.caller, asio::buffer("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nc8\r\n" +
                                           std::string(200, 'x') + "\r\n0\r\n\r\n"));
  CHECK(ReceiveResponse(fixture).starts_with("HTTP/1.1 413"));
}

TEST_CASE("an idle connection is closed without a response") {
  Fixture fixture;
  fixture.session->Close();
  CHECK(fixture.Received().empty());
}

}  // namespace
}  // namespace sassafras
