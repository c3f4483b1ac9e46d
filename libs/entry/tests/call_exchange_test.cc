#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "attempt.h"
#include "call_exchange.h"
#include "core/state_options.h"
#include "engine.h"
#include "entry/native_dialect.h"
#include "manual_clock.h"
#include "upstream_pool.h"

namespace sassafras {
namespace {

/** A call with two attempts that are not started; enough to test which of them may answer. */
struct Fixture {
  Fixture()
      : engine(StateOptions(), clock),
        pool(context.get_executor(), clock),
        exchange(std::make_shared<CallExchange>(engine,
                                                pool,
                                                dialect,
                                                std::chrono::milliseconds(100),
                                                std::make_shared<CallerStream>(asio::ip::tcp::socket(context)),
                                                std::make_unique<RequestParser>())),
        first(*exchange, engine, pool, dialect, AttemptTarget()),
        second(*exchange, engine, pool, dialect, AttemptTarget()) {}

  asio::io_context context;
  ManualClock clock;
  NativeDialect dialect;
  Engine engine;
  UpstreamPool pool;
  std::shared_ptr<CallExchange> exchange;
  Attempt first;
  Attempt second;
};

TEST_CASE("only one attempt of a call may answer") {
  Fixture fixture;
  CHECK(fixture.exchange->Claim(fixture.first));
  CHECK_FALSE(fixture.exchange->Claim(fixture.second));
}

TEST_CASE("an attempt whose response arrives after the call was answered is not relayed") {
  Fixture fixture;
  fixture.exchange->Complete(CallExchange::Completion::kAnswered);
  CHECK_FALSE(fixture.exchange->Claim(fixture.first));
  CHECK_FALSE(fixture.exchange->Claim(fixture.second));
}

}  // namespace
}  // namespace sassafras
