#include "entry/entry_instance.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <list>
#include <random>
#include <unordered_set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include "admin_pages.h"
#include "base/counters.h"
#include "base/log.h"
#include "caller_session.h"
#include "control_link.h"
#include "control_sink.h"
#include "core/gossip_message.h"
#include "core/quota_counters.h"
#include "core/state_options.h"
#include "engine.h"
#include "entry/http_dialect.h"
#include "entry/native_dialect.h"
#include "entry/page_source.h"
#include "fleet_link.h"
#include "log_record_writer.h"
#include "net/listener.h"
#include "peers/gossip_socket.h"
#include "peers/peer_rpc.h"
#include "platform_link.h"
#include "prober.h"
#include "settings/settings.h"
#include "stop_limits.h"
#include "store/etcd_client.h"
#include "upstream_pool.h"

namespace sassafras {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::chrono::seconds kPoolSweepPeriod{5};
/** A tick that runs later than this is logged. */
constexpr milliseconds kLateTick{100};

StateOptions MakeStateOptions(const Settings& settings, const Clock& clock) {
  StateOptions options;
  options.self.name = settings.instance;
  options.self.failure_domain = settings.failure_domain;
  options.self.address = settings.listen;
  options.self.peer_address = settings.peer_listen;
  options.self.incarnation = static_cast<uint64_t>(
      duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
  options.seed_peers = settings.seed_peers;
  options.random_seed = std::random_device()();
  options.start = clock.Now();
  options.selection = *ParseSelectionRule(settings.selection);
  options.queue_limit = settings.queue_limit;
  options.fleet_limit = settings.fleet_limit;
  options.record_limit = settings.record_limit;
  options.address_ttl = duration_cast<milliseconds>(settings.address_ttl);
  options.linger_limit = MaxServingTimeAfterStop(duration_cast<milliseconds>(settings.kill_after),
                                                 duration_cast<milliseconds>(settings.stop_limit));
  options.probing = settings.probing;
  options.late_binding = settings.late_binding;
  options.retry_ratio = settings.retry_ratio;
  options.retry_slack = settings.retry_slack;
  options.ask_first = settings.ask_first;
  options.key_revocation_limit = duration_cast<milliseconds>(settings.key_revocation_limit);
  options.endpoint_leave_limit = duration_cast<milliseconds>(settings.endpoint_leave_limit);
  options.lists_apply_limit = duration_cast<milliseconds>(settings.lists_apply_limit);
  options.hedging = settings.hedging;
  options.hedge_limit = settings.hedge_limit / 100;
  options.gossip_period = duration_cast<milliseconds>(settings.gossip_period);
  options.discovery = settings.store == StoreKind::kPlatform;
  return options;
}

}  // namespace

/** Owns and connects the components of an instance. */
class EntryInstance::Impl final : public ControlSink {
 public:
  Impl(asio::io_context& context, const Settings& settings, const Clock& clock, PlatformAdapters adapters)
      : m_context(context),
        m_settings(settings),
        m_adapters(std::move(adapters)),
        m_engine(MakeStateOptions(settings, clock), clock),
        m_pool(context.get_executor(), clock),
        m_gossip(context, [this](GossipMessage message) { OnGossip(std::move(message)); }),
        m_prober(context.get_executor(), m_engine, m_pool, Dialect()),
        m_pages(m_engine, m_settings, m_counters, m_adapters.pages.get(), [this] { RefreshCounters(); }),
        m_tick_timer(context),
        m_sweep_timer(context),
        m_stop_timer(context) {
    m_engine.SetControlSink(*this);
    m_engine.SetQueueEmptyHook([this] { OnEventQueueEmpty(); });
    if (m_adapters.store != nullptr) {
      auto link = std::make_unique<FleetLink>(context, m_engine, m_adapters.store);
      m_peer_pages = std::make_unique<AdminPages>(m_engine, m_settings, m_counters, link.get(), [] {});
      m_link = std::move(link);
      return;
    }
    m_store = std::make_unique<EtcdClient>(settings.platform, settings.instance);
    m_rpc = std::make_unique<PeerRpc>();
    m_link = std::make_unique<PlatformLink>(context, m_engine, *m_store, *m_store, *m_store, *m_rpc);
  }

  absl::Status Start();
  void RequestStop();
  void Reload(const Settings& settings);
  size_t AbortedRequestCount() const { return m_aborted_requests; }

  void OnEffect(const Effect::SendProbe& effect) override { m_prober.Send(effect); }
  void OnEffect(const Effect::SendGossip& effect) override { m_gossip.Send(effect.peer_address, *effect.message); }
  void OnEffect(const Effect::FetchLists& effect) override { m_link->OnEffect(effect); }
  void OnEffect(const Effect::PollStore& effect) override { m_link->OnEffect(effect); }
  void OnEffect(const Effect::WatchStore& effect) override { m_link->OnEffect(effect); }
  void OnEffect(const Effect::ReadEndpoints& effect) override { m_link->OnEffect(effect); }
  void OnEffect(const Effect::ReadRoster& effect) override { m_link->OnEffect(effect); }
  void OnEffect(const Effect::WriteRoster& effect) override { m_link->OnEffect(effect); }
  void OnEffect(const Effect::RestoreLists& effect) override { m_link->OnEffect(effect); }
  void OnEffect(const Effect::ClaimSeat& effect) override { m_link->OnEffect(effect); }
  void OnEffect(const Effect::ReleaseSeat& effect) override { m_link->OnEffect(effect); }
  void OnEffect(const Effect::CloseListeners& effect) override;
  void OnEffect(const Effect::WriteLogRecord& effect) override { WriteLogRecordLine(effect.record); }

 private:
  /** One listening socket and what is served on it. */
  struct Listener {
    Listener(asio::io_context& context, SessionKind kind_in, const AdminPages& pages_in)
        : acceptor(context), kind(kind_in), pages(pages_in) {}
    asio::ip::tcp::acceptor acceptor;
    SessionKind kind;
    const AdminPages& pages;
  };

  const HttpDialect& Dialect() const {
    if (m_adapters.dialect != nullptr)
      return *m_adapters.dialect;
    return m_native_dialect;
  }
  absl::Status Listen(const std::string& address, std::string_view setting, SessionKind kind, const AdminPages& pages);
  /** Accepts connections until the listener is closed. */
  asio::awaitable<void> RunAccept(Listener& listener);
  asio::awaitable<void> Accept(Listener& listener);
  /** Starts a session on an accepted connection. */
  void StartSession(asio::ip::tcp::socket socket, const Listener& listener);
  asio::awaitable<void> Serve(std::shared_ptr<CallerSession> session);
  /** Starts sessions for the connections that wait to be accepted: closing the listener would reset them. */
  void AcceptWaiting(Listener& listener);
  /** Ends a session that was started before, once requests that have arrived are answered. */
  void CloseSession(CallerSession& session);
  void ScheduleTick();
  /** Logs and counts a tick that ran late, because other handlers kept the thread busy. */
  void ObserveTickLateness(Duration late);
  void OnEventQueueEmpty();
  void ScheduleSweep();
  void OnGossip(GossipMessage message);
  void FinishIfIdle();
  void RefreshCounters();

  asio::io_context& m_context;
  Settings m_settings;
  const PlatformAdapters m_adapters;
  const NativeDialect m_native_dialect;
  Engine m_engine;
  UpstreamPool m_pool;
  GossipSocket m_gossip;
  std::unique_ptr<EtcdClient> m_store;
  std::unique_ptr<PeerRpc> m_rpc;
  std::unique_ptr<ControlLink> m_link;
  Prober m_prober;
  Counters m_counters;
  AdminPages m_pages;
  /** Pages that peers fetch over HTTP; null if peers use RPC instead. */
  std::unique_ptr<AdminPages> m_peer_pages;
  std::list<Listener> m_listeners;
  asio::steady_timer m_tick_timer;
  TimePoint m_tick_at = TimePoint::max();
  Duration m_longest_tick_lateness{};
  uint64_t m_late_ticks = 0;
  asio::steady_timer m_sweep_timer;
  asio::steady_timer m_stop_timer;
  std::unordered_set<CallerSession*> m_sessions;
  bool m_closing = false;
  /** Listeners that may still accept a connection. */
  size_t m_accepting = 0;
  size_t m_aborted_requests = 0;
};

absl::Status EntryInstance::Impl::Listen(const std::string& address,
                                         std::string_view setting,
                                         SessionKind kind,
                                         const AdminPages& pages) {
  Listener& listener = m_listeners.emplace_back(m_context, kind, pages);
  absl::Status status = OpenListener(listener.acceptor, address, setting);
  if (status.ok())
    asio::co_spawn(m_context, RunAccept(listener), asio::detached);
  return status;
}

absl::Status EntryInstance::Impl::Start() {
  const bool pages_on_listen = m_settings.page_listen.empty();
  absl::Status status =
      Listen(m_settings.listen, "listen", pages_on_listen ? SessionKind::kCallsAndPages : SessionKind::kCalls, m_pages);
  for (const std::string& address : m_settings.page_listen) {
    if (status.ok())
      status = Listen(address, "page_listen", SessionKind::kPages, m_pages);
  }
  if (status.ok())
    status = m_gossip.Open(m_settings.peer_listen);
  if (status.ok() && m_rpc != nullptr)
    status = m_rpc->Start(m_settings.peer_listen);
  if (status.ok() && m_peer_pages != nullptr)
    status = Listen(m_settings.peer_listen, "peer_listen", SessionKind::kPages, *m_peer_pages);
  if (!status.ok())
    return status;
  ScheduleTick();
  ScheduleSweep();
  Log(LogLevel::kInfo, "started", {{"instance", m_settings.instance}, {"listen", m_settings.listen}});
  return absl::OkStatus();
}

asio::awaitable<void> EntryInstance::Impl::RunAccept(Listener& listener) {
  ++m_accepting;
  co_await Accept(listener);
  --m_accepting;
  FinishIfIdle();
}

asio::awaitable<void> EntryInstance::Impl::Accept(Listener& listener) {
  asio::ip::tcp::acceptor& acceptor = listener.acceptor;
  while (acceptor.is_open()) {
    error_code error;
    asio::ip::tcp::socket socket(m_context);
    co_await acceptor.async_accept(socket, AwaitWithError(error));
    if (error == asio::error::operation_aborted)
      co_return;
    if (error || m_sessions.size() >= m_settings.caller_connections) {
      // Out of file descriptors or at the connection limit: retries after a pause; callers wait in the backlog.
      socket.close(error);
      asio::steady_timer pause(m_context, milliseconds(10));
      co_await pause.async_wait(AwaitWithError(error));
      continue;
    }
    StartSession(std::move(socket), listener);
  }
}

void EntryInstance::Impl::StartSession(asio::ip::tcp::socket socket, const Listener& listener) {
  auto session =
      std::make_shared<CallerSession>(std::move(socket), m_engine, m_pool, Dialect(), listener.pages, listener.kind,
                                      duration_cast<milliseconds>(m_settings.connect_timeout));
  m_sessions.insert(session.get());
  asio::co_spawn(m_context, Serve(session), asio::detached);
  if (m_closing)
    CloseSession(*session);
}

asio::awaitable<void> EntryInstance::Impl::Serve(std::shared_ptr<CallerSession> session) {
  co_await session->Run();
  m_sessions.erase(session.get());
  FinishIfIdle();
}

void EntryInstance::Impl::AcceptWaiting(Listener& listener) {
  error_code error;
  listener.acceptor.non_blocking(true, error);
  while (!error && m_sessions.size() < m_settings.caller_connections) {
    asio::ip::tcp::socket socket(m_context);
    listener.acceptor.accept(socket, error);
    if (!error)
      StartSession(std::move(socket), listener);
  }
}

void EntryInstance::Impl::CloseSession(CallerSession& session) {
  // Posted, because the session may not have begun to read yet: it would then end without a look at its connection.
  asio::post(m_context, [weak = session.weak_from_this()] {
    if (const auto started = weak.lock())
      started->Close();
  });
}

void EntryInstance::Impl::ScheduleTick() {
  const TimePoint now = m_engine.Now();
  m_tick_at = m_engine.GetState().NextTick(now);
  m_tick_timer.expires_at(m_tick_at);
  m_tick_timer.async_wait([this](error_code error) {
    if (error)
      return;
    ObserveTickLateness(m_engine.Now() - m_tick_at);
    m_engine.Post(Event::Tick{m_engine.Now()});
    FinishIfIdle();
    ScheduleTick();
  });
}

void EntryInstance::Impl::ObserveTickLateness(Duration late) {
  m_longest_tick_lateness = std::max(m_longest_tick_lateness, late);
  if (late < kLateTick)
    return;
  ++m_late_ticks;
  Log(LogLevel::kWarning, "event_loop_late",
      {{"late_ms", std::to_string(duration_cast<milliseconds>(late).count())},
       {"generation", std::to_string(m_engine.GetState().Generation())}});
}

void EntryInstance::Impl::OnEventQueueEmpty() {
  // An event may have moved the next tick to an earlier time.
  if (m_engine.GetState().NextTick(m_engine.Now()) < m_tick_at)
    ScheduleTick();
}

void EntryInstance::Impl::ScheduleSweep() {
  m_sweep_timer.expires_after(kPoolSweepPeriod);
  m_sweep_timer.async_wait([this](error_code error) {
    if (error)
      return;
    m_pool.CloseExpired();
    ScheduleSweep();
  });
}

void EntryInstance::Impl::OnGossip(GossipMessage message) {
  m_engine.Post(Event::GossipReceived{m_engine.Now(), std::move(message)});
}

void EntryInstance::Impl::RequestStop() {
  if (m_engine.GetState().CurrentPhase() == Phase::kLeaving || m_closing)
    return;
  Log(LogLevel::kInfo, "stop_requested", {{"instance", m_settings.instance}});
  const TimePoint ends_at = m_engine.Now() + MaxStopDuration(duration_cast<milliseconds>(m_settings.kill_after),
                                                             duration_cast<milliseconds>(m_settings.stop_limit));
  m_stop_timer.expires_at(ends_at);
  m_stop_timer.async_wait([this](error_code error) {
    if (error)
      return;
    m_aborted_requests = m_engine.GetState().CallsInProgress();
    Log(LogLevel::kError, "stop_limit_reached", {{"cut", std::to_string(m_aborted_requests)}});
    m_context.stop();
  });
  m_engine.Post(Event::StopRequested{m_engine.Now(), ends_at});
  m_link->OnStopRequested();
}

void EntryInstance::Impl::Reload(const Settings& settings) {
  const bool same_sockets = settings.listen == m_settings.listen && settings.page_listen == m_settings.page_listen &&
                            settings.peer_listen == m_settings.peer_listen && settings.platform == m_settings.platform;
  m_settings.address_ttl = settings.address_ttl;
  m_settings.kill_after = settings.kill_after;
  m_settings.stop_limit = settings.stop_limit;
  m_settings.connect_timeout = settings.connect_timeout;
  m_settings.caller_connections = settings.caller_connections;
  const LogLevel level = same_sockets ? LogLevel::kInfo : LogLevel::kWarning;
  Log(level, "settings_reloaded", {{"restart_needed", same_sockets ? "no" : "yes, for changed addresses"}});
  const StateOptions options = MakeStateOptions(settings, m_engine.GetClock());
  m_engine.Post(Event::SettingsChanged{m_engine.Now(), options.retry_ratio, options.retry_slack, options.address_ttl,
                                       options.linger_limit, options.hedge_limit, options.endpoint_leave_limit,
                                       options.lists_apply_limit});
}

void EntryInstance::Impl::OnEffect(const Effect::CloseListeners& /*effect*/) {
  m_closing = true;
  Log(LogLevel::kInfo, "closing", {{"calls_in_progress", std::to_string(m_engine.GetState().CallsInProgress())}});
  for (CallerSession* session : m_sessions)
    CloseSession(*session);
  error_code ignored;
  for (Listener& listener : m_listeners) {
    AcceptWaiting(listener);
    listener.acceptor.close(ignored);
  }
}

void EntryInstance::Impl::FinishIfIdle() {
  // A connection that was just accepted has no session yet.
  if (!m_closing || m_accepting > 0 || !m_sessions.empty() || m_engine.GetState().CallsInProgress() > 0)
    return;
  Log(LogLevel::kInfo, "stopped", {{"instance", m_settings.instance}});
  m_context.stop();
}

void EntryInstance::Impl::RefreshCounters() {
  const auto set = [this](std::string_view name, uint64_t value) { m_counters.Set(m_counters.Register(name), value); };
  const State& state = m_engine.GetState();
  set("sassafras_generation", state.Generation());
  set("sassafras_calls_in_progress", state.CallsInProgress());
  set("sassafras_calls_waiting", state.CallsWaiting());
  set("sassafras_caller_connections", m_sessions.size());
  set("sassafras_late_ticks_total", m_late_ticks);
  set("sassafras_longest_tick_lateness_ms",
      static_cast<uint64_t>(duration_cast<milliseconds>(m_longest_tick_lateness).count()));
  set("sassafras_idle_upstream_connections", m_pool.IdleCount());
  set("sassafras_gossip_bytes_sent_total", m_gossip.BytesSent());
  set("sassafras_gossip_bytes_received_total", m_gossip.BytesReceived());
  set("sassafras_gossip_malformed_total", m_gossip.MalformedCount());
  set("sassafras_platform_calls_total", m_link->RequestCount());
  set("sassafras_platform_failures_total", m_link->FailureCount());
  set("sassafras_probes_sent_total", m_prober.SentCount());
  set("sassafras_probes_withdrawn_total", m_prober.WithdrawnCount());
  set("sassafras_idempotency_records", state.RecordCount());
  set("sassafras_quarantined_requests", state.QuarantineCount());
  set("sassafras_calls_rejected_for_keys_total", state.CallsRejectedForKeys());
  set("sassafras_keys_confirmed_age_ms", static_cast<uint64_t>(state.KeyConfirmationAge(m_engine.Now()).count()));
  set("sassafras_evacuated_failure_domains", state.EvacuatedDomains().size());
  set("sassafras_warmup_refusals_total", state.WarmupRefusals());
  set("sassafras_table_bytes", state.TableBytes());
  set("sassafras_quota_tokens_requested_total", state.Quotas().tokens_requested);
  set("sassafras_quota_tokens_granted_total", state.Quotas().tokens_granted);
  set("sassafras_quota_calls_denied_total", state.Quotas().calls_denied);
  set("sassafras_quota_fallback_admissions_total", state.Quotas().fallback_admissions);
  set("sassafras_quota_shards", state.QuotaShardsHeld());
}

EntryInstance::EntryInstance(asio::io_context& context,
                             const Settings& settings,
                             const Clock& clock,
                             PlatformAdapters adapters)
    : m_impl(std::make_unique<Impl>(context, settings, clock, std::move(adapters))) {}

EntryInstance::~EntryInstance() = default;

absl::Status EntryInstance::Start() {
  return m_impl->Start();
}

void EntryInstance::RequestStop() {
  m_impl->RequestStop();
}

void EntryInstance::Reload(const Settings& settings) {
  m_impl->Reload(settings);
}

size_t EntryInstance::AbortedRequestCount() const {
  return m_impl->AbortedRequestCount();
}

}  // namespace sassafras
