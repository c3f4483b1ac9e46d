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
constexpr milliseconds kWatchWait{2'500};
/** How often a registration is renewed, and how soon after a failure it is tried again. */
constexpr std::chrono::seconds kRenewPeriod{12};
constexpr std::chrono::seconds kRegisterRetry{2};
/** Pauses between looks for other instances, for the first ones and later. */
constexpr milliseconds kFirstMembersPause{500};
constexpr std::chrono::seconds kMembersPause{3};
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

void FleetLink::PutInForce(const PlansReading& reading, std::string_view source) {
  Log(LogLevel::kInfo, "plans_in_force",
      {{"generation", std::to_string(reading.generation)},
       {"replaces", std::to_string(m_engine.GetState().Generation())},
       {"source", std::string(source)},
       {"as_of", std::to_string(reading.as_of)},
       {"plans", std::to_string(reading.lists->plans.size())}});
  m_document = reading.document;
  m_engine.Post(Event::ListsReceived{m_engine.Now(), reading.generation, reading.lists});
}

void FleetLink::TakePlans(const PlansReading& reading) {
  m_plans_as_of = std::max(m_plans_as_of, reading.as_of);
  if (reading.generation > m_engine.GetState().Generation())
    PutInForce(reading, "store");
  m_engine.Post(Event::StoreConfirmed{m_engine.Now(), m_engine.GetState().Generation()});
}

void FleetLink::OnEffect(const Effect::PollStore& /*effect*/) {
  if (!std::exchange(m_polling, true))
    asio::co_spawn(m_context, RunPoll(), asio::detached);
  if (!std::exchange(m_registering, true))
    asio::co_spawn(m_context, RunRegistration(), asio::detached);
}

asio::awaitable<void> FleetLink::RunPoll() {
  const auto reading = co_await m_store->ReadPlans(Freshness::kLatest);
  NoteResult(reading.status());
  if (reading.ok())
    TakePlans(*reading);
  else if (m_reachable)
    Log(LogLevel::kError, "plans_unusable", {{"error", MessageOf(reading.status())}});
  m_polling = false;
}

asio::awaitable<void> FleetLink::ReadMembers() {
  auto members = co_await m_store->ReadMembers();
  NoteResult(members.status());
  if (!members.ok())
    co_return;
  m_members_read = true;
  Event::DirectoryReceived event;
  event.now = m_engine.Now();
  event.whole = false;
  event.members = *std::move(members);
  std::erase_if(event.members, [this](const Member& member) { return member.name == m_engine.GetState().Self().name; });
  Log(LogLevel::kInfo, "members_read", {{"count", std::to_string(event.members.size())}});
  m_engine.Post(std::move(event));
}

void FleetLink::OnEffect(const Effect::FetchLists& effect) {
  if (!std::exchange(m_fetching, true))
    asio::co_spawn(m_context, RunFetch(effect), asio::detached);
}

asio::awaitable<void> FleetLink::RunFetch(Effect::FetchLists effect) {
  // Asking a peer costs the platform nothing, and works for an instance that the store turns away.
  const bool fetched = co_await FetchFromPeer(effect.peer_address);
  if (!fetched && effect.generation > m_engine.GetState().Generation()) {
    const auto reading = co_await m_store->ReadPlans(Freshness::kLatest);
    NoteResult(reading.status());
    if (reading.ok() && reading->generation > 0)
      TakePlans(*reading);
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

asio::awaitable<void> FleetLink::FetchEndpointsFromPeer(std::string peer_address) {
  const auto reply = co_await SendHttp(peer_address, "GET", std::string(kEndpointsPage), "", kPeerLimit);
  if (!reply.ok() || reply->status != kOk) {
    Log(LogLevel::kInfo, "peer_has_no_endpoints", {{"peer", peer_address}});
    co_return;
  }
  auto event = DecodeEndpoints(reply->body);
  if (!event.ok()) {
    Log(LogLevel::kError, "endpoints_unusable", {{"peer", peer_address}, {"error", MessageOf(event.status())}});
    co_return;
  }
  Log(LogLevel::kInfo, "endpoints_from_peer",
      {{"peer", peer_address},
       {"count", std::to_string(event->changes.size())},
       {"as_of", std::to_string(event->as_of)},
       {"age_ms", std::to_string(event->age.count())}});
  event->now = m_engine.Now();
  m_engine.Post(*std::move(event));
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
    absl::StatusOr<PlansReading> reading = PlansReading();
    if (m_plans_as_of == 0)
      reading = co_await m_store->ReadPlans(Freshness::kLatest);
    else
      reading = co_await m_store->AwaitPlans(m_plans_as_of, kWatchWait);
    NoteResult(reading.status());
    if (reading.ok() && reading->as_of > 0) {
      m_watch_failures = 0;
      TakePlans(*reading);
      continue;
    }
    co_await Pause(StorePauseAfter(m_watch_failures++));
  }
  m_watch_running = false;
}

void FleetLink::OnEffect(const Effect::ReadEndpoints& effect) {
  bool& running = effect.whole ? m_reading_whole : m_reading_endpoints;
  if (!std::exchange(running, true))
    asio::co_spawn(m_context, RunReadEndpoints(effect), asio::detached);
}

asio::awaitable<void> FleetLink::RunReadEndpoints(Effect::ReadEndpoints effect) {
  absl::StatusOr<EndpointsReading> reading = EndpointsReading();
  if (effect.whole || m_endpoints_as_of == 0)
    reading = co_await m_store->ReadEndpoints();
  else
    reading = co_await m_store->ReadEndpointChanges(m_endpoints_as_of, effect.wait);
  (effect.whole ? m_reading_whole : m_reading_endpoints) = false;
  NoteResult(reading.status());
  if (!reading.ok() && !effect.peer_address.empty())
    co_await FetchEndpointsFromPeer(effect.peer_address);
  if (!reading.ok())
    co_return;
  m_endpoints_as_of = std::max(m_endpoints_as_of, reading->as_of);
  Event::EndpointsReceived event;
  event.now = m_engine.Now();
  event.as_of = reading->as_of;
  event.whole = reading->whole;
  event.changes = std::move(reading->changes);
  m_engine.Post(std::move(event));
}

asio::awaitable<void> FleetLink::RunRegistration() {
  while (!m_leaving) {
    const absl::Status status = co_await m_store->Register(m_engine.GetState().Self());
    NoteResult(status);
    if (!status.ok()) {
      co_await Pause(kRegisterRetry);
      continue;
    }
    // Others may register only after this instance has read: it asks again until it knows of one.
    Duration waited{};
    while (!m_leaving && waited < kRenewPeriod) {
      const bool alone = m_engine.GetState().ServingMembers().size() <= 1;
      if (alone || !m_members_read)
        co_await ReadMembers();
      const Duration pause = alone && waited < kRegisterRetry ? Duration(kFirstMembersPause) : Duration(kMembersPause);
      co_await Pause(pause);
      waited += pause;
    }
  }
}

void FleetLink::Leave() {
  m_watch_on = false;
  if (!std::exchange(m_leaving, true))
    asio::co_spawn(m_context, RunLeave(), asio::detached);
}

asio::awaitable<void> FleetLink::RunLeave() {
  NoteResult(co_await m_store->Unregister());
}

}  // namespace sassafras
