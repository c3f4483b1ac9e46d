#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>

#include "base/clock.h"
#include "control_link.h"
#include "core/effect.h"
#include "net/stream_canceller.h"
#include "store/directory_listing.h"
#include "store/stored_value.h"

namespace sassafras {

class ConfigStore;
class Engine;
class InstanceDirectory;
class PeerRpc;
class SeatLeases;
struct FetchedLists;
struct Lists;
struct ListsDelta;
struct ListsDocument;

/** Executes the effects on the platform through its config store, instance directory and seat leases. */
class PlatformLink final : public ControlLink {
 public:
  PlatformLink(boost::asio::io_context& context,
               Engine& engine,
               ConfigStore& store,
               InstanceDirectory& directory,
               SeatLeases& seats,
               PeerRpc& rpc);
  ~PlatformLink() override;

  void OnEffect(const Effect::FetchLists& effect) override { FetchUpdate(effect.peer_address); }
  void OnEffect(const Effect::PollStore& /*effect*/) override { Poll(); }
  void OnEffect(const Effect::WatchStore& effect) override { SetWatching(effect.on); }
  void OnEffect(const Effect::ReadEndpoints& /*effect*/) override {}
  void OnEffect(const Effect::ReadRoster& /*effect*/) override {}
  void OnEffect(const Effect::WriteRoster& /*effect*/) override {}
  void OnEffect(const Effect::RestoreLists& effect) override { Restore(effect.generation); }
  void OnEffect(const Effect::ClaimSeat& effect) override { ClaimSeat(effect.seat); }
  void OnEffect(const Effect::ReleaseSeat& effect) override { ReleaseSeat(effect.seat); }
  void OnStopRequested() override {}

  void Poll();
  void SetWatching(bool on);
  /** Writes the document of that generation to the store if the store holds an older one. */
  void Restore(uint64_t generation);
  void ClaimSeat(uint32_t seat);
  void ReleaseSeat(uint32_t seat);
  void FetchUpdate(const std::string& peer_address);

  uint64_t RequestCount() const override { return m_request_count; }
  uint64_t FailureCount() const override { return m_failure_count; }

 private:
  boost::asio::awaitable<void> RunPoll();
  /** Reads the lists if their store revision differs from the one read last. */
  boost::asio::awaitable<void> PollLists();
  boost::asio::awaitable<void> PollDirectory();
  boost::asio::awaitable<void> RunWatch();
  boost::asio::awaitable<void> RunRestore();
  boost::asio::awaitable<void> RunClaim(uint32_t seat);
  boost::asio::awaitable<void> RunRelease(uint32_t seat);
  /**
   * Parses a document off the event loop and puts it into force if it is newer.
   * @param revision  store revision of the document, or 0 if a peer sent it
   */
  boost::asio::awaitable<void> ProcessDocument(std::string text, int64_t revision, TimePoint started_at = {});
  boost::asio::awaitable<void> ProcessDelta(ListsDelta delta, std::string peer_address);
  void Fetch(const std::string& peer_address, bool whole);
  void PostDirectory(const DirectoryListing& listing);
  void RecordResult(const absl::Status& status);

  boost::asio::io_context& m_context;
  Engine& m_engine;
  ConfigStore& m_store;
  InstanceDirectory& m_directory;
  SeatLeases& m_seats;
  PeerRpc& m_rpc;
  boost::asio::thread_pool m_parser_thread{1};
  StreamCanceller m_watch_canceller;
  /** The newest document seen, in stored form. */
  std::string m_document;
  std::shared_ptr<const ListsDocument> m_parsed_document;
  uint64_t m_document_generation = 0;
  /** Store revision of the last valid document read from the store, and the generation of that document. */
  int64_t m_stored_revision = 0;
  uint64_t m_stored_generation = 0;
  /** Revision of the last directory listing, and when the last full one was read. */
  int64_t m_directory_revision = 0;
  TimePoint m_full_listing_at{};
  bool m_polling = false;
  /** Seats with a claim in progress. */
  std::set<uint32_t> m_pending_claims;
  bool m_watch_enabled = false;
  bool m_watch_running = false;
  bool m_platform_reachable = true;
  uint64_t m_request_count = 0;
  uint64_t m_failure_count = 0;
};

}  // namespace sassafras
