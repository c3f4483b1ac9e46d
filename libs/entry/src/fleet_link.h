#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "control_link.h"
#include "entry/page_source.h"

namespace sassafras {

class Engine;
class FleetStore;
enum class ReadConsistency : uint8_t;
struct PlansSnapshot;
struct RosterSnapshot;

/** Reads plans, endpoints and the roster of entry instances from a FleetStore or a peer, and writes the roster. */
class FleetLink final : public ControlLink, public PageSource {
 public:
  FleetLink(boost::asio::io_context& context, Engine& engine, std::shared_ptr<FleetStore> store);

  void OnEffect(const Effect::FetchLists& effect) override;
  void OnEffect(const Effect::PollStore& effect) override;
  void OnEffect(const Effect::WatchStore& effect) override;
  void OnEffect(const Effect::ReadEndpoints& effect) override;
  void OnEffect(const Effect::ReadRoster& effect) override;
  void OnEffect(const Effect::WriteRoster& effect) override;
  void OnEffect(const Effect::RestoreLists& /*effect*/) override {}
  void OnEffect(const Effect::ClaimSeat& /*effect*/) override {}
  void OnEffect(const Effect::ReleaseSeat& /*effect*/) override {}
  void OnStopRequested() override;
  /** Renders the pages for peers: the plans and endpoints known to this instance. */
  std::optional<Page> Render(std::string_view target, const State& state) const override;
  uint64_t RequestCount() const override { return m_request_count; }
  uint64_t FailureCount() const override { return m_failure_count; }

 private:
  boost::asio::awaitable<void> RunReadPlans(ReadConsistency consistency);
  boost::asio::awaitable<void> RunFetchPlans(Effect::FetchLists effect);
  /** Fetches the plans from a peer; false if it has none newer than the current generation. */
  /** Returns the compressed plans of the peer. */
  boost::asio::awaitable<absl::StatusOr<std::string>> FetchCompressedPlans(std::string peer_address);
  boost::asio::awaitable<bool> FetchPlansFromPeer(std::string peer_address);
  /** Fetches the endpoints from a peer; false if it does not answer or its answer is unusable. */
  boost::asio::awaitable<bool> FetchEndpointsFromPeer(std::string peer_address, std::chrono::milliseconds limit);
  std::chrono::milliseconds WatchWait() const;
  boost::asio::awaitable<void> RunWatch();
  boost::asio::awaitable<void> RunReadEndpoints(Effect::ReadEndpoints effect);
  boost::asio::awaitable<void> RunReadRoster();
  boost::asio::awaitable<void> RunWriteRoster(std::vector<Member> members);
  void ProcessRoster(absl::StatusOr<RosterSnapshot> roster, std::string_view log_event);
  boost::asio::awaitable<void> Sleep(Duration pause);
  void PutPlansInForce(const PlansSnapshot& snapshot, std::string compressed, std::string_view source);
  /** Passes the evacuated failure domains on to the reducer, if the snapshot holds them. */
  void PostEvacuations(const PlansSnapshot& snapshot, ReadConsistency consistency);
  /** @param started_at  Engine::BootTime() before the read */
  void ProcessPlans(const PlansSnapshot& snapshot,
                    ReadConsistency consistency,
                    TimePoint started_at,
                    std::chrono::milliseconds wait = {});
  /** Counts a store request, and tells the reducer whether the store answered it. */
  void RecordResult(const absl::Status& status);

  boost::asio::io_context& m_context;
  Engine& m_engine;
  std::shared_ptr<FleetStore> m_store;
  /** The plans in force, in the encoding of the store. */
  std::string m_plans_document;
  /** The same, compressed for peers. */
  std::string m_compressed_plans;
  /** Store revision as of which the plans were last read. */
  uint64_t m_plans_as_of = 0;
  /** Store revision of the roster last read or written by this instance. */
  uint64_t m_roster_revision = 0;
  /** Whether the latest plans in the store could not be decoded, so that those in force may hold revoked API keys. */
  bool m_stored_plans_unusable = false;
  uint32_t m_watch_failures = 0;
  bool m_reading_plans = false;
  bool m_fetching_plans = false;
  /** Tracked apart from reads of changes: a full read may run while a read waits for changes. */
  bool m_reading_all_endpoints = false;
  bool m_reading_endpoint_changes = false;
  bool m_roster_request_running = false;
  bool m_watch_enabled = false;
  bool m_watch_running = false;
  bool m_store_reachable = true;
  uint64_t m_request_count = 0;
  uint64_t m_failure_count = 0;
};

}  // namespace sassafras
