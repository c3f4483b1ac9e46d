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

/** Reads plans, endpoints and the roster of entry instances from a FleetStore, and writes the roster there. */
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
  void Leave() override;
  /** Pages for peers: the plans and endpoints known here. */
  std::optional<Page> Render(std::string_view target, const State& state) const override;
  uint64_t Calls() const override { return m_calls; }
  uint64_t Failures() const override { return m_failures; }

 private:
  boost::asio::awaitable<void> RunPoll(ReadConsistency freshness);
  boost::asio::awaitable<void> RunFetch(Effect::FetchLists effect);
  /** Reads the plans from a peer; false if it has none above our generation. */
  boost::asio::awaitable<bool> FetchFromPeer(std::string peer_address);
  /** Takes the endpoints from a peer; false if it has none to give. */
  boost::asio::awaitable<bool> FetchEndpointsFromPeer(std::string peer_address, std::chrono::milliseconds limit);
  boost::asio::awaitable<void> RunWatch();
  boost::asio::awaitable<void> RunReadEndpoints(Effect::ReadEndpoints effect);
  boost::asio::awaitable<void> RunReadRoster();
  boost::asio::awaitable<void> RunWriteRoster(std::vector<Member> members);
  void TakeRoster(absl::StatusOr<RosterSnapshot> roster, std::string_view what);
  boost::asio::awaitable<void> Pause(Duration pause);
  void PutInForce(const PlansSnapshot& reading, std::string_view source);
  void TakePlans(const PlansSnapshot& reading, ReadConsistency freshness);
  /** Counts a call, and tells the reducer whether the store answered. */
  void NoteResult(const absl::Status& status);

  boost::asio::io_context& m_context;
  Engine& m_engine;
  std::shared_ptr<FleetStore> m_store;
  /** The plans in force, as the store holds them. */
  std::string m_document;
  /** Revision of the store up to which the plans are known. */
  uint64_t m_plans_as_of = 0;
  /** Revision at which the roster was written that this instance knows. */
  uint64_t m_roster_revision = 0;
  uint32_t m_watch_failures = 0;
  bool m_polling = false;
  bool m_fetching = false;
  /** A read of all endpoints may overtake one that waits for a change. */
  bool m_reading_whole = false;
  bool m_reading_endpoints = false;
  bool m_using_roster = false;
  bool m_watch_on = false;
  bool m_watch_running = false;
  bool m_reachable = true;
  uint64_t m_calls = 0;
  uint64_t m_failures = 0;
};

}  // namespace sassafras
