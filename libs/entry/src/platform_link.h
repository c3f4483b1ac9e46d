#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>

#include "core/effect.h"
#include "store/directory_entry.h"
#include "store/stored_value.h"

namespace sassafras {

class ConfigStore;
class Engine;
class InstanceDirectory;
class PeerRpc;
class SeatLeases;
struct FetchedLists;
struct Lists;

/** Carries out the effects that concern the lists and the platform. */
class PlatformLink {
 public:
  PlatformLink(boost::asio::io_context& context,
               Engine& engine,
               ConfigStore& store,
               InstanceDirectory& directory,
               SeatLeases& seats,
               PeerRpc& rpc);
  ~PlatformLink();

  void Poll();
  void Watch(bool on);
  void Restore(uint64_t generation);
  void ClaimSeat(uint32_t seat);
  void ReleaseSeat(uint32_t seat);
  void FetchFrom(const std::string& peer_address);

  /** Requests made of the platform and failures of them. */
  uint64_t Calls() const { return m_calls; }
  uint64_t Failures() const { return m_failures; }

 private:
  boost::asio::awaitable<void> RunPoll();
  boost::asio::awaitable<void> RunWatch();
  boost::asio::awaitable<void> RunRestore();
  boost::asio::awaitable<void> RunClaim(uint32_t seat);
  boost::asio::awaitable<void> RunRelease(uint32_t seat);
  /** Parses a document away from the event loop and puts it into force if it is newer. */
  boost::asio::awaitable<void> TakeDocument(std::string text, bool from_store);
  void PostDirectory(const std::vector<DirectoryEntry>& entries);
  void NoteResult(bool ok);

  boost::asio::io_context& m_context;
  Engine& m_engine;
  ConfigStore& m_store;
  InstanceDirectory& m_directory;
  SeatLeases& m_seats;
  PeerRpc& m_rpc;
  boost::asio::thread_pool m_parser{1};
  boost::asio::cancellation_signal m_watch_stop;
  /** The newest document seen, as stored. */
  std::string m_document;
  uint64_t m_document_generation = 0;
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
