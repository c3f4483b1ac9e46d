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

TEST_CASE("an idle connection is closed without a response") {
  Fixture fixture;
  fixture.session->Close();
  CHECK(fixture.Received().empty());
}

}  // namespace
}  // namespace sassafras
