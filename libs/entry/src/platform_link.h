#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

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

/** Carries out the effects that concern the lists and the platform. */
class PlatformLink final : public ControlLink {
 public:
  PlatformLink(boost::asio::io_context& context,
               Engine& engine,
               ConfigStore& store,
               InstanceDirectory& directory,
               SeatLeases& seats,
               PeerRpc& rpc);
  ~PlatformLink() override;

  void OnEffect(const Effect::FetchLists& effect) override { FetchFrom(effect.peer_address); }
  void OnEffect(const Effect::PollStore& /*effect*/) override { Poll(); }
  void OnEffect(const Effect::WatchStore& effect) override { Watch(effect.on); }
  void OnEffect(const Effect::ReadEndpoints& /*effect*/) override {}
  void OnEffect(const Effect::ReadRoster& /*effect*/) override {}
  void OnEffect(const Effect::WriteRoster& /*effect*/) override {}
  void OnEffect(const Effect::RestoreLists& effect) override { Restore(effect.generation); }
  void OnEffect(const Effect::ClaimSeat& effect) override { ClaimSeat(effect.seat); }
  void OnEffect(const Effect::ReleaseSeat& effect) override { ReleaseSeat(effect.seat); }
  void Leave() override {}

  void Poll();
  void Watch(bool on);
  void Restore(uint64_t generation);
  void ClaimSeat(uint32_t seat);
  void ReleaseSeat(uint32_t seat);
  void FetchFrom(const std::string& peer_address);

  uint64_t Calls() const override { return m_calls; }
  uint64_t Failures() const override { return m_failures; }

 private:
  boost::asio::awaitable<void> RunPoll();
  /** Reads the lists if their revision is not the one read last. */
  boost::asio::awaitable<void> PollLists();
  boost::asio::awaitable<void> PollDirectory();
  boost::asio::awaitable<void> RunWatch();
  boost::asio::awaitable<void> RunRestore();
  boost::asio::awaitable<void> RunClaim(uint32_t seat);
  boost::asio::awaitable<void> RunRelease(uint32_t seat);
  /**
   * Parses a document away from the event loop and puts it into force if it is newer.
   * @param revision  of the store, or 0 if a peer sent it
   */
  boost::asio::awaitable<void> TakeDocument(std::string text, int64_t revision);
  boost::asio::awaitable<void> TakeDelta(ListsDelta delta, std::string peer_address);
  void Fetch(const std::string& peer_address, bool whole);
  void PostDirectory(const DirectoryListing& listing);
  void NoteResult(bool ok);

  boost::asio::io_context& m_context;
  Engine& m_engine;
  ConfigStore& m_store;
  InstanceDirectory& m_directory;
  SeatLeases& m_seats;
  PeerRpc& m_rpc;
  boost::asio::thread_pool m_parser{1};
  StreamCanceller m_watch_stop;
  /** The newest document seen, as stored. */
  std::string m_document;
  std::shared_ptr<const ListsDocument> m_parsed_document;
  uint64_t m_document_generation = 0;
  /** Revision of the store at which it held a document that was taken, and that document's generation. */
  int64_t m_stored_revision = 0;
  uint64_t m_stored_generation = 0;
  /** Revision of the last listing, and when the last whole one was read. */
  int64_t m_directory_revision = 0;
  TimePoint m_whole_directory_at{};
  bool m_polling = false;
  /** Seats whose claim is under way. */
  std::set<uint32_t> m_claiming;
  bool m_watch_on = false;
  bool m_watch_running = false;
  bool m_reachable = true;
  uint64_t m_calls = 0;
  uint64_t m_failures = 0;
};

}  // namespace sassafras
