#include "fleet_link.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/backoff.h"
#include "base/error.h"
#include "base/log.h"
#include "core/state.h"
#include "endpoint_json.h"
#include "engine.h"
#include "http_types.h"
#include "lists/lists.h"
#include "net/http_client.h"
#include "store/fleet_store.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/** How long a watch waits for a change of the plans; its end proves that there was none. */
constexpr milliseconds kWatchWait{2'200};
/** Longest time for a question to a peer. */
constexpr milliseconds kPeerLimit{500};
constexpr std::string_view kPlansPage = "/sassafras/peer/plans";
constexpr std::string_view kEndpointsPage = "/sassafras/peer/endpoints";
constexpr int kOk = 200;

}  // namespace

FleetLink::FleetLink(asio::io_context& context, Engine& engine, std::shared_ptr<FleetStore> store)
    : m_context(context), m_engine(engine), m_store(std::move(store)) {}

void FleetLink::NoteResult(const absl::Status& status) {
  ++m_calls;
  const ErrorKind kind = status.ok() ? ErrorKind::kInternal : ErrorKindOf(status);
  const bool silent = kind == ErrorKind::kUnreachable || kind == ErrorKind::kOutcomeUnknown;
  if (!status.ok())
    ++m_failures;
  m_engine.Post(Event::StoreRead{m_engine.Now(), !silent});
  if (silent != m_reachable)
    return;
  m_reachable = !silent;
  if (silent)
    Log(LogLevel::kWarning, "store_lost", {{"error", MessageOf(status)}});
  else
    Log(LogLevel::kInfo, "store_regained");
}

asio::awaitable<void> FleetLink::Pause(Duration pause) {
  asio::steady_timer timer(m_context, pause);
  error_code ignored;
  co_await timer.async_wait(Awaiting(ignored));
}

void FleetLink::PutInForce(const PlansSnapshot& reading, std::string_view source) {
  Log(LogLevel::kInfo, "plans_in_force",
      {{"generation", std::to_string(reading.generation)},
       {"replaces", std::to_string(m_engine.GetState().Generation())},
       {"source", std::string(source)},
       {"as_of", std::to_string(reading.as_of)},
       {"plans", std::to_string(reading.lists->plans.size())}});
  m_document = reading.document;
  m_engine.Post(Event::ListsReceived{m_engine.Now(), reading.generation, reading.lists});
}

void FleetLink::TakePlans(const PlansSnapshot& reading, ReadConsistency freshness) {
  m_plans_as_of = std::max(m_plans_as_of, reading.as_of);
  if (reading.generation > m_engine.GetState().Generation())
    PutInForce(reading, freshness == ReadConsistency::kLinearizable ? "store" : "store, may lag");
  if (freshness == ReadConsistency::kLinearizable)
    m_engine.Post(Event::StoreConfirmed{m_engine.Now(), m_engine.GetState().Generation()});
}

void FleetLink::OnEffect(const Effect::PollStore& effect) {
  if (!std::exchange(m_polling, true))
    asio::co_spawn(m_context, RunPoll(effect.may_lag ? ReadConsistency::kSerializable : ReadConsistency::kLinearizable),
                   asio::detached);
}

asio::awaitable<void> FleetLink::RunPoll(ReadConsistency freshness) {
  const auto reading = co_await m_store->ReadPlans(freshness);
  NoteResult(reading.status());
  if (reading.ok())
    TakePlans(*reading, freshness);
  else if (m_reachable)
    Log(LogLevel::kError, "plans_unusable", {{"error", MessageOf(reading.status())}});
  m_polling = false;
}

void FleetLink::OnEffect(const Effect::ReadRoster& /*effect*/) {
  if (!std::exchange(m_using_roster, true))
    asio::co_spawn(m_context, RunReadRoster(), asio::detached);
}

void FleetLink::OnEffect(const Effect::WriteRoster& effect) {
  if (!std::exchange(m_using_roster, true))
    asio::co_spawn(m_context, RunWriteRoster(effect.members), asio::detached);
}

asio::awaitable<void> FleetLink::RunReadRoster() {
  TakeRoster(co_await m_store->ReadRoster(), "roster_read");
}

asio::awaitable<void> FleetLink::RunWriteRoster(std::vector<Member> members) {
  TakeRoster(co_await m_store->WriteRoster(members, m_roster_revision), "roster_written");
}

void FleetLink::TakeRoster(absl::StatusOr<RosterSnapshot> roster, std::string_view what) {
  m_using_roster = false;
  NoteResult(roster.status());
  if (!roster.ok()) {
    Log(LogLevel::kWarning, "roster_unusable", {{"error", MessageOf(roster.status())}});
    return;
  }
  m_roster_revision = roster->revision;
  Log(LogLevel::kInfo, what,
      {{"members", std::to_string(roster->members.size())}, {"revision", std::to_string(roster->revision)}});
  m_engine.Post(Event::RosterReceived{m_engine.Now(), std::move(roster->members)});
}

void FleetLink::OnEffect(const Effect::FetchLists& effect) {
  if (!std::exchange(m_fetching, true))
    asio::co_spawn(m_context, RunFetch(effect), asio::detached);
}

asio::awaitable<void> FleetLink::RunFetch(Effect::FetchLists effect) {
  // Asking a peer costs the platform nothing, and works for an instance that the store turns away.
  const bool fetched = co_await FetchFromPeer(effect.peer_address);
  if (!fetched && effect.generation > m_engine.GetState().Generation()) {
    const auto reading = co_await m_store->ReadPlans(ReadConsistency::kLinearizable);
    NoteResult(reading.status());
    if (reading.ok() && reading->generation > 0)
      TakePlans(*reading, ReadConsistency::kLinearizable);
  }
  m_fetching = false;
}

asio::awaitable<bool> FleetLink::FetchFromPeer(std::string peer_address) {
  const auto reply = co_await SendHttp(peer_address, "GET", std::string(kPlansPage), "", kPeerLimit);
  if (!reply.ok() || reply->status != kOk) {
    Log(LogLevel::kInfo, "peer_has_no_plans", {{"peer", peer_address}});
    co_return false;
  }
  const auto reading = m_store->DecodePlans(reply->body);
  if (!reading.ok()) {
    Log(LogLevel::kError, "plans_unusable", {{"peer", peer_address}, {"error", MessageOf(reading.status())}});
    co_return false;
  }
  if (reading->generation <= m_engine.GetState().Generation())
    co_return false;
  PutInForce(*reading, peer_address);
  co_return true;
}

asio::awaitable<bool> FleetLink::FetchEndpointsFromPeer(std::string peer_address, milliseconds limit) {
  const auto reply = co_await SendHttp(peer_address, "GET", std::string(kEndpointsPage), "", limit);
  if (!reply.ok() || reply->status != kOk) {
    Log(LogLevel::kInfo, "peer_has_no_endpoints", {{"peer", peer_address}});
    co_return false;
  }
  auto event = DecodeEndpoints(reply->body);
  if (!event.ok()) {
    Log(LogLevel::kError, "endpoints_unusable", {{"peer", peer_address}, {"error", MessageOf(event.status())}});
    co_return false;
  }
  Log(LogLevel::kInfo, "endpoints_from_peer",
      {{"peer", peer_address},
       {"count", std::to_string(event->changes.size())},
       {"as_of", std::to_string(event->as_of)},
       {"age_ms", std::to_string(event->age.count())}});
  event->now = m_engine.Now();
  m_engine.Post(*std::move(event));
  co_return true;
}

std::optional<Page> FleetLink::Render(std::string_view target, const State& state) const {
  constexpr int kUnavailable = 503;
  if (target == kPlansPage && !m_document.empty())
    return Page{kOk, "application/json", m_document};
  if (target == kEndpointsPage && state.EndpointsAsOf() > 0) {
    const auto age = state.EndpointsAge(m_engine.Now());
    return Page{kOk, "application/json", EncodeEndpoints(state.KnownEndpoints(), state.EndpointsAsOf(), age)};
  }
  if (target == kPlansPage || target == kEndpointsPage)
    return Page{kUnavailable, "text/plain", "nothing is known here yet; ask another instance\n"};
  return std::nullopt;
}

void FleetLink::OnEffect(const Effect::WatchStore& effect) {
  m_watch_on = effect.on;
  if (effect.on && !std::exchange(m_watch_running, true))
    asio::co_spawn(m_context, RunWatch(), asio::detached);
}

asio::awaitable<void> FleetLink::RunWatch() {
  while (m_watch_on) {
    absl::StatusOr<PlansSnapshot> reading = PlansSnapshot();
    if (m_plans_as_of == 0)
      reading = co_await m_store->ReadPlans(ReadConsistency::kLinearizable);
    else
      reading = co_await m_store->WatchPlans(m_plans_as_of, kWatchWait);
    NoteResult(reading.status());
    if (reading.ok() && reading->as_of > 0) {
      m_watch_failures = 0;
      TakePlans(*reading, ReadConsistency::kLinearizable);
      continue;
    }
    co_await Pause(StoreRetryDelay(m_watch_failures++));
  }
  m_watch_running = false;
}

void FleetLink::OnEffect(const Effect::ReadEndpoints& effect) {
  bool& running = effect.whole ? m_reading_whole : m_reading_endpoints;
  if (!std::exchange(running, true))
    asio::co_spawn(m_context, RunReadEndpoints(effect), asio::detached);
}

asio::awaitable<void> FleetLink::RunReadEndpoints(Effect::ReadEndpoints effect) {
  bool& running = effect.whole ? m_reading_whole : m_reading_endpoints;
  const bool has_peer = !effect.peer_address.empty();
  if (has_peer && effect.peer_first && co_await FetchEndpointsFromPeer(effect.peer_address, effect.peer_limit)) {
    running = false;
    co_return;
  }
  absl::StatusOr<EndpointsUpdate> reading = EndpointsUpdate();
  if (effect.whole || effect.after == 0)
    reading = co_await m_store->ReadEndpoints(effect.may_lag ? ReadConsistency::kSerializable
                                                             : ReadConsistency::kLinearizable);
  else
    reading = co_await m_store->WatchEndpoints(effect.after, effect.wait);
  running = false;
  NoteResult(reading.status());
  if (!reading.ok() && has_peer && !effect.peer_first)
    co_await FetchEndpointsFromPeer(effect.peer_address, effect.peer_limit);
  if (!reading.ok())
    co_return;
  Event::EndpointsReceived event;
  event.now = m_engine.Now();
  event.as_of = reading->as_of;
  event.whole = reading->is_snapshot;
  event.may_lag = effect.may_lag;
  event.changes = std::move(reading->changes);
  m_engine.Post(std::move(event));
}

void FleetLink::Leave() {
  m_watch_on = false;
}

}  // namespace sassafras
