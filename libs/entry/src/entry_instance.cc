#include "entry/entry_instance.h"

#include <chrono>
#include <functional>
#include <random>
#include <unordered_set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include "admin_pages.h"
#include "base/counters.h"
#include "base/log.h"
#include "caller_session.h"
#include "control_sink.h"
#include "core/gossip_message.h"
#include "core/state_options.h"
#include "engine.h"
#include "net/listener.h"
#include "peers/gossip_socket.h"
#include "peers/peer_rpc.h"
#include "platform_link.h"
#include "prober.h"
#include "settings/settings.h"
#include "store/etcd_client.h"
#include "upstream_pool.h"

namespace sassafras {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::chrono::seconds kPoolSweep{5};

StateOptions MakeOptions(const Settings& settings, const Clock& clock) {
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
  options.probing = settings.probing;
  options.hedging = settings.hedging;
  options.late_binding = settings.late_binding;
  return options;
}

}  // namespace

/** Wires the parts of an instance together. */
class EntryInstance::Impl final : public ControlSink {
 public:
  Impl(asio::io_context& context, const Settings& settings, const Clock& clock)
      : m_context(context),
        m_settings(settings),
        m_engine(MakeOptions(settings, clock), clock),
        m_pool(context.get_executor(), clock),
        m_store(settings.platform, settings.instance),
        m_gossip(context, [this](GossipMessage message) { OnGossip(std::move(message)); }),
        m_platform(context, m_engine, m_store, m_store, m_store, m_rpc),
        m_prober(context.get_executor(), m_engine),
        m_admin(m_engine, m_settings, m_counters, [this] { RefreshCounters(); }),
        m_acceptor(context),
        m_tick(context),
        m_sweep(context),
        m_stop_limit(context) {
    m_engine.SetControlSink(*this);
  }

  absl::Status Start();
  void RequestStop();
  size_t CutRequests() const { return m_cut; }

  void OnEffect(const Effect::SendProbe& effect) override { m_prober.Send(effect); }
  void OnEffect(const Effect::SendGossip& effect) override { m_gossip.Send(effect.peer_address, *effect.message); }
  void OnEffect(const Effect::FetchLists& effect) override { m_platform.FetchFrom(effect.peer_address); }
  void OnEffect(const Effect::PollStore& /*effect*/) override { m_platform.Poll(); }
  void OnEffect(const Effect::WatchStore& effect) override { m_platform.Watch(effect.on); }
  void OnEffect(const Effect::RestoreLists& effect) override { m_platform.Restore(effect.generation); }
  void OnEffect(const Effect::ClaimSeat& effect) override { m_platform.ClaimSeat(effect.seat); }
  void OnEffect(const Effect::ReleaseSeat& effect) override { m_platform.ReleaseSeat(effect.seat); }
  void OnEffect(const Effect::CloseListeners& effect) override;

 private:
  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(asio::ip::tcp::socket socket);
  void ScheduleTick();
  void ScheduleSweep();
  void OnGossip(GossipMessage message);
  void FinishIfIdle();
  void RefreshCounters();

  asio::io_context& m_context;
  const Settings m_settings;
  Engine m_engine;
  UpstreamPool m_pool;
  EtcdClient m_store;
  GossipSocket m_gossip;
  PeerRpc m_rpc;
  PlatformLink m_platform;
  Prober m_prober;
  Counters m_counters;
  AdminPages m_admin;
  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_tick;
  asio::steady_timer m_sweep;
  asio::steady_timer m_stop_limit;
  std::unordered_set<CallerSession*> m_sessions;
  bool m_closing = false;
  size_t m_cut = 0;
};

absl::Status EntryInstance::Impl::Start() {
  absl::Status status = OpenListener(m_acceptor, m_settings.listen, "listen");
  if (status.ok())
    status = m_gossip.Open(m_settings.peer_listen);
  if (status.ok())
    status = m_rpc.Start(m_settings.peer_listen);
  if (!status.ok())
    return status;
  asio::co_spawn(m_context, Accept(), asio::detached);
  ScheduleTick();
  ScheduleSweep();
  Log(LogLevel::kInfo, "started", {{"instance", m_settings.instance}, {"listen", m_settings.listen}});
  return absl::OkStatus();
}

asio::awaitable<void> EntryInstance::Impl::Accept() {
  while (m_acceptor.is_open()) {
    error_code error;
    asio::ip::tcp::socket socket(m_context);
    co_await m_acceptor.async_accept(socket, Awaiting(error));
    if (error == asio::error::operation_aborted || !m_acceptor.is_open())
      co_return;
    if (error || m_sessions.size() >= m_settings.caller_connections) {
      // Out of descriptors or of room: what waits in the backlog is taken a little later.
      socket.close(error);
      asio::steady_timer pause(m_context, milliseconds(10));
      co_await pause.async_wait(Awaiting(error));
      continue;
    }
    asio::co_spawn(m_context, Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> EntryInstance::Impl::Serve(asio::ip::tcp::socket socket) {
  const auto session = std::make_shared<CallerSession>(std::move(socket), m_engine, m_pool, m_admin,
                                                       duration_cast<milliseconds>(m_settings.connect_timeout));
  m_sessions.insert(session.get());
  co_await session->Run();
  m_sessions.erase(session.get());
  FinishIfIdle();
}

void EntryInstance::Impl::ScheduleTick() {
  m_tick.expires_after(kTickPeriod);
  m_tick.async_wait([this](error_code error) {
    if (error)
      return;
    m_engine.Post(Event::Tick{m_engine.Now()});
    FinishIfIdle();
    ScheduleTick();
  });
}

void EntryInstance::Impl::ScheduleSweep() {
  m_sweep.expires_after(kPoolSweep);
  m_sweep.async_wait([this](error_code error) {
    if (error)
      return;
    m_pool.CloseIdle();
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
  m_stop_limit.expires_after(m_settings.stop_limit);
  m_stop_limit.async_wait([this](error_code error) {
    if (error)
      return;
    m_cut = m_engine.GetState().CallsInProgress();
    Log(LogLevel::kError, "stop_limit_reached", {{"cut", std::to_string(m_cut)}});
    m_context.stop();
  });
  m_engine.Post(Event::StopRequested{m_engine.Now()});
}

void EntryInstance::Impl::OnEffect(const Effect::CloseListeners& /*effect*/) {
  m_closing = true;
  Log(LogLevel::kInfo, "closing", {{"calls_in_progress", std::to_string(m_engine.GetState().CallsInProgress())}});
  error_code ignored;
  m_acceptor.close(ignored);
  for (CallerSession* session : m_sessions)
    session->Close();
}

void EntryInstance::Impl::FinishIfIdle() {
  if (!m_closing || !m_sessions.empty() || m_engine.GetState().CallsInProgress() > 0)
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
  set("sassafras_idle_upstream_connections", m_pool.IdleCount());
  set("sassafras_gossip_bytes_sent_total", m_gossip.BytesSent());
  set("sassafras_gossip_bytes_received_total", m_gossip.BytesReceived());
  set("sassafras_gossip_malformed_total", m_gossip.Malformed());
  set("sassafras_platform_calls_total", m_platform.Calls());
  set("sassafras_platform_failures_total", m_platform.Failures());
  set("sassafras_probes_sent_total", m_prober.Sent());
  set("sassafras_probes_withdrawn_total", m_prober.Withdrawn());
  set("sassafras_idempotency_records", state.RecordCount());
  set("sassafras_quarantined_requests", state.QuarantineCount());
  set("sassafras_table_bytes", state.TableBytes());
}

EntryInstance::EntryInstance(asio::io_context& context, const Settings& settings, const Clock& clock)
    : m_impl(std::make_unique<Impl>(context, settings, clock)) {}

EntryInstance::~EntryInstance() = default;

absl::Status EntryInstance::Start() {
  return m_impl->Start();
}

void EntryInstance::RequestStop() {
  m_impl->RequestStop();
}

size_t EntryInstance::CutRequests() const {
  return m_impl->CutRequests();
}

}  // namespace sassafras
