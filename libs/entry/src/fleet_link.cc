#include "fleet_link.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include "base/backoff.h"
#include "base/error.h"
#include "base/log.h"
#include "core/state.h"
#include "endpoint_json.h"
#include "engine.h"
#include "http_types.h"
#include "lists/lists.h"
#include "net/deflate.h"
#include "net/http_client.h"
#include "store/fleet_store.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/** Longest wait of a watch for a change of the plans while API keys are honored only with a recent confirmation, whose
 * age counts from the start of a watch. */
constexpr milliseconds kMaxWatchWaitForKeys{700};
/** Timeout of a request for plans to a peer. */
constexpr milliseconds kPeerRequestTimeout{500};
/** Most bytes of plans from a peer. */
constexpr size_t kMaxPlansBytes = 8u << 20u;
constexpr std::string_view kPlansPage = "/sassafras/peer/plans";
/** The same, compressed: a fleet that fetches large plans from a few peers would otherwise fill their links. */
constexpr std::string_view kCompressedPlansPage = "/sassafras/peer/plans.deflate";
constexpr std::string_view kEndpointsPage = "/sassafras/peer/endpoints";
constexpr int kOk = 200;
constexpr int kNotFound = 404;

/**
 * Upper bound of the time since the store made its reply to a call that began at `started_at` and let it wait: a paused
 * process may read a reply long after it arrived.
 */
milliseconds ReplyAge(TimePoint started_at, milliseconds wait, TimePoint now) {
  return std::max(milliseconds::zero(), std::chrono::ceil<milliseconds>(now - started_at) - wait);
}

}  // namespace

FleetLink::FleetLink(asio::io_context& context, Engine& engine, std::shared_ptr<FleetStore> store)
    : m_context(context), m_engine(engine), m_store(std::move(store)) {}

void FleetLink::RecordResult(const absl::Status& status) {
  ++m_request_count;
  const ErrorKind kind = status.ok() ? ErrorKind::kInternal : ErrorKindOf(status);
  const bool unreachable = kind == ErrorKind::kUnreachable || kind == ErrorKind::kOutcomeUnknown;
  if (!status.ok())
    ++m_failure_count;
  m_engine.Post(Event::StoreReadEnded{m_engine.Now(), !unreachable});
  if (unreachable != m_store_reachable)
    return;
  m_store_reachable = !unreachable;
  if (unreachable)
    Log(LogLevel::kWarning, "store_lost", {{"error", MessageOf(status)}});
  else
    Log(LogLevel::kInfo, "store_regained");
}

asio::awaitable<void> FleetLink::Sleep(Duration pause) {
  asio::steady_timer timer(m_context, pause);
  error_code ignored;
  co_await timer.async_wait(AwaitWithError(ignored));
}

void FleetLink::PutPlansInForce(const PlansSnapshot& snapshot, std::string compressed, std::string_view source) {
  Log(LogLevel::kInfo, "plans_in_force",
      {{"generation", std::to_string(snapshot.generation)},
       {"replaces", std::to_string(m_engine.GetState().Generation())},
       {"source", std::string(source)},
       {"as_of", std::to_string(snapshot.as_of)},
       {"plans", std::to_string(snapshot.lists->plans.size())}});
  if (snapshot.defects.count > 0) {
    Log(LogLevel::kError, "plans_defects",
        {{"generation", std::to_string(snapshot.generation)},
         {"count", std::to_string(snapshot.defects.count)},
         {"first", snapshot.defects.first}});
  }
  m_plans_document = snapshot.document;
  m_compressed_plans = std::move(compressed);
  const TimePoint started_at = m_engine.Now();
  m_engine.Post(Event::ListsReceived{started_at, snapshot.generation, snapshot.lists});
  Log(LogLevel::kInfo, "plans_applied",
      {{"generation", std::to_string(snapshot.generation)},
       {"apply_ms", std::to_string(std::chrono::duration_cast<milliseconds>(m_engine.Now() - started_at).count())}});
}

void FleetLink::PostEvacuations(const PlansSnapshot& snapshot, ReadConsistency consistency) {
  if (snapshot.evacuations.as_of > 0)
    m_engine.Post(Event::EvacuationsReceived{m_engine.Now(), snapshot.evacuations,
                                             consistency == ReadConsistency::kSerializable});
}

void FleetLink::ProcessPlans(const PlansSnapshot& snapshot,
                             ReadConsistency consistency,
                             TimePoint started_at,
                             milliseconds wait) {
  const milliseconds age = ReplyAge(started_at, wait, m_engine.BootTime());
  PostEvacuations(snapshot, consistency);
  m_plans_as_of = std::max(m_plans_as_of, snapshot.as_of);
  if (snapshot.generation > m_engine.GetState().Generation())
    PutPlansInForce(snapshot, Deflate(snapshot.document),
                    consistency == ReadConsistency::kLinearizable ? "store" : "store, may lag");
  if (!snapshot.plans_status.ok()) {
    Log(LogLevel::kError, "plans_unusable", {{"error", MessageOf(snapshot.plans_status)}});
    m_stored_plans_unusable = consistency == ReadConsistency::kLinearizable || m_stored_plans_unusable;
    return;
  }
  if (consistency != ReadConsistency::kLinearizable)
    return;
  if (snapshot.generation > 0)
    m_stored_plans_unusable = false;
  m_engine.Post(Event::StoreConfirmed{m_engine.Now(), m_engine.GetState().Generation(),
                                      m_stored_plans_unusable ? TimePoint() : started_at, age});
}

void FleetLink::OnEffect(const Effect::PollStore& effect) {
  if (!std::exchange(m_reading_plans, true))
    asio::co_spawn(m_context,
                   RunReadPlans(effect.may_lag ? ReadConsistency::kSerializable : ReadConsistency::kLinearizable),
                   asio::detached);
}

asio::awaitable<void> FleetLink::RunReadPlans(ReadConsistency consistency) {
  const TimePoint started_at = m_engine.BootTime();
  const auto snapshot = co_await m_store->ReadPlans(consistency);
  RecordResult(snapshot.status());
  if (snapshot.ok())
    ProcessPlans(*snapshot, consistency, started_at);
  else if (m_store_reachable)
    Log(LogLevel::kError, "plans_unusable", {{"error", MessageOf(snapshot.status())}});
  m_reading_plans = false;
}

void FleetLink::OnEffect(const Effect::ReadRoster& /*effect*/) {
  if (!std::exchange(m_roster_request_running, true))
    asio::co_spawn(m_context, RunReadRoster(), asio::detached);
}

void FleetLink::OnEffect(const Effect::WriteRoster& effect) {
  if (!std::exchange(m_roster_request_running, true))
    asio::co_spawn(m_context, RunWriteRoster(effect.members), asio::detached);
}

asio::awaitable<void> FleetLink::RunReadRoster() {
  ProcessRoster(co_await m_store->ReadRoster(), "roster_read");
}

asio::awaitable<void> FleetLink::RunWriteRoster(std::vector<Member> members) {
  ProcessRoster(co_await m_store->WriteRoster(members, m_roster_revision), "roster_written");
}

void FleetLink::ProcessRoster(absl::StatusOr<RosterSnapshot> roster, std::string_view log_event) {
  m_roster_request_running = false;
  RecordResult(roster.status());
  if (!roster.ok()) {
    Log(LogLevel::kWarning, "roster_unusable", {{"error", MessageOf(roster.status())}});
    return;
  }
  m_roster_revision = roster->revision;
  Log(LogLevel::kInfo, log_event,
      {{"members", std::to_string(roster->members.size())}, {"revision", std::to_string(roster->revision)}});
  m_engine.Post(Event::RosterReceived{m_engine.Now(), std::move(roster->members)});
}

void FleetLink::OnEffect(const Effect::FetchLists& effect) {
  if (!std::exchange(m_fetching_plans, true))
    asio::co_spawn(m_context, RunFetchPlans(effect), asio::detached);
}

asio::awaitable<void> FleetLink::RunFetchPlans(Effect::FetchLists effect) {
  // Asks a peer first: this puts no load on the platform and works even if the store refuses this instance.
  const bool fetched = co_await FetchPlansFromPeer(effect.peer_address);
  if (!fetched && effect.generation > m_engine.GetState().Generation()) {
    const TimePoint started_at = m_engine.BootTime();
    const auto snapshot = co_await m_store->ReadPlans(ReadConsistency::kLinearizable);
    RecordResult(snapshot.status());
    if (snapshot.ok() && snapshot->generation > 0)
      ProcessPlans(*snapshot, ReadConsistency::kLinearizable, started_at);
  }
  m_fetching_plans = false;
}

asio::awaitable<absl::StatusOr<std::string>> FleetLink::FetchCompressedPlans(std::string peer_address) {
  auto reply = co_await SendHttp(peer_address, "GET", std::string(kCompressedPlansPage), "", kPeerRequestTimeout);
  if (reply.ok() && reply->status == kOk)
    co_return std::move(reply->body);
  // An instance of an earlier version has only the plain page.
  if (reply.ok() && reply->status == kNotFound) {
    const auto plain = co_await SendHttp(peer_address, "GET", std::string(kPlansPage), "", kPeerRequestTimeout);
    if (plain.ok() && plain->status == kOk)
      co_return Deflate(plain->body);
  }
  co_return MakeError(ErrorKind::kUnreachable, fmt::format("{}: no plans there", peer_address), "ask another peer");
}

asio::awaitable<bool> FleetLink::FetchPlansFromPeer(std::string peer_address) {
  auto compressed = co_await FetchCompressedPlans(peer_address);
  if (!compressed.ok()) {
    // Also logged if the peer cannot be reached.
    Log(LogLevel::kInfo, "peer_has_no_plans", {{"peer", peer_address}});
    co_return false;
  }
  const auto document = Inflate(*compressed, kMaxPlansBytes);
  const absl::StatusOr<PlansSnapshot> snapshot =
      document.ok() ? m_store->DecodePlans(*document) : absl::StatusOr<PlansSnapshot>(document.status());
  if (!snapshot.ok()) {
    Log(LogLevel::kError, "plans_unusable", {{"peer", peer_address}, {"error", MessageOf(snapshot.status())}});
    co_return false;
  }
  if (snapshot->generation <= m_engine.GetState().Generation())
    co_return false;
  PutPlansInForce(*snapshot, *std::move(compressed), peer_address);
  co_return true;
}

asio::awaitable<bool> FleetLink::FetchEndpointsFromPeer(std::string peer_address, milliseconds limit) {
  const auto reply = co_await SendHttp(peer_address, "GET", std::string(kEndpointsPage), "", limit);
  if (!reply.ok() || reply->status != kOk) {
    // Also logged if the peer cannot be reached.
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
  constexpr int kServiceUnavailable = 503;
  if (target == kPlansPage && !m_plans_document.empty())
    return Page{kOk, "application/json", m_plans_document};
  if (target == kCompressedPlansPage && !m_compressed_plans.empty())
    return Page{kOk, "application/octet-stream", m_compressed_plans};
  if (target == kEndpointsPage && state.EndpointsAsOf() > 0) {
    const auto age = state.EndpointsAge(m_engine.Now());
    return Page{kOk, "application/json", EncodeEndpoints(state.KnownEndpoints(), state.EndpointsAsOf(), age)};
  }
  if (target == kPlansPage || target == kCompressedPlansPage || target == kEndpointsPage)
    return Page{kServiceUnavailable, "text/plain", "nothing is known here yet; ask another instance\n"};
  return std::nullopt;
}

milliseconds FleetLink::WatchWait() const {
  const State& state = m_engine.GetState();
  const milliseconds wait = state.ListsWatchWait();
  return state.NeedsKeyConfirmation() ? std::min(wait, kMaxWatchWaitForKeys) : wait;
}

void FleetLink::OnEffect(const Effect::WatchStore& effect) {
  m_watch_enabled = effect.on;
  if (effect.on && !std::exchange(m_watch_running, true))
    asio::co_spawn(m_context, RunWatch(), asio::detached);
}

asio::awaitable<void> FleetLink::RunWatch() {
  while (m_watch_enabled) {
    const TimePoint started_at = m_engine.BootTime();
    const milliseconds wait = m_plans_as_of == 0 ? milliseconds::zero() : WatchWait();
    absl::StatusOr<PlansSnapshot> snapshot = PlansSnapshot();
    if (m_plans_as_of == 0)
      snapshot = co_await m_store->ReadPlans(ReadConsistency::kLinearizable);
    else
      snapshot = co_await m_store->WatchPlans(m_plans_as_of, wait);
    RecordResult(snapshot.status());
    if (snapshot.ok() && snapshot->as_of > 0) {
      ProcessPlans(*snapshot, ReadConsistency::kLinearizable, started_at, wait);
      m_watch_failures = 0;
      continue;
    }
    co_await Sleep(StoreRetryDelay(m_watch_failures++));
  }
  m_watch_running = false;
}

void FleetLink::OnEffect(const Effect::ReadEndpoints& effect) {
  bool& running = effect.whole ? m_reading_all_endpoints : m_reading_endpoint_changes;
  if (!std::exchange(running, true))
    asio::co_spawn(m_context, RunReadEndpoints(effect), asio::detached);
}

asio::awaitable<void> FleetLink::RunReadEndpoints(Effect::ReadEndpoints effect) {
  bool& running = effect.whole ? m_reading_all_endpoints : m_reading_endpoint_changes;
  const bool has_peer = !effect.peer_address.empty();
  if (has_peer && effect.peer_first && co_await FetchEndpointsFromPeer(effect.peer_address, effect.peer_timeout)) {
    running = false;
    co_return;
  }
  const TimePoint started_at = m_engine.BootTime();
  absl::StatusOr<EndpointsUpdate> update = EndpointsUpdate();
  if (effect.whole || effect.after_revision == 0)
    update = co_await m_store->ReadEndpoints(effect.may_lag ? ReadConsistency::kSerializable
                                                            : ReadConsistency::kLinearizable);
  else
    update = co_await m_store->WatchEndpoints(effect.after_revision, effect.wait);
  running = false;
  RecordResult(update.status());
  if (!update.ok() && has_peer && !effect.peer_first)
    co_await FetchEndpointsFromPeer(effect.peer_address, effect.peer_timeout);
  if (!update.ok())
    co_return;
  Event::EndpointsReceived event;
  event.now = m_engine.Now();
  event.as_of = update->as_of;
  event.whole = update->is_snapshot;
  event.may_lag = effect.may_lag;
  event.age = ReplyAge(started_at, effect.wait, m_engine.BootTime());
  event.changes = std::move(update->changes);
  m_engine.Post(std::move(event));
}

void FleetLink::OnStopRequested() {
  m_watch_enabled = false;
}

}  // namespace sassafras
