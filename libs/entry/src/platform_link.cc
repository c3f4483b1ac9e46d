#include "platform_link.h"

#include <chrono>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "base/error.h"
#include "base/log.h"
#include "engine.h"
#include "lists/lists.h"
#include "lists/lists_delta.h"
#include "lists/lists_document.h"
#include "peers/fetched_lists.h"
#include "peers/peer_rpc.h"
#include "store/config_store.h"
#include "store/instance_directory.h"
#include "store/seat_leases.h"

namespace sassafras {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kWatchRetryDelay{500};
/** Period of full reads of the instance directory; in between, only changes are read. */
constexpr std::chrono::minutes kFullListingPeriod{10};
/**
 * Fraction of a lease's TTL in which this instance treats the seat as held, since the clocks of instance and platform
 * run at slightly different rates.
 */
constexpr double kUsableLeaseFraction = 0.9;

/** Result of parsing a document. `lists` is null if `status` is an error or the document is the current one. */
struct ParsedDocument {
  absl::Status status;
  uint64_t generation = 0;
  std::shared_ptr<const ListsDocument> document;
  std::shared_ptr<const Lists> lists;
};

ParsedDocument ParseDocument(const std::string& text) {
  ParsedDocument parsed;
  auto document = DecodeDocument(text);
  if (!document.ok()) {
    parsed.status = document.status();
    return parsed;
  }
  parsed.generation = document->generation;
  auto lists = ParseLists(document->plans_toml, document->upstreams_toml);
  parsed.document = std::make_shared<const ListsDocument>(*std::move(document));
  if (lists.ok())
    parsed.lists = std::make_shared<const Lists>(*std::move(lists));
  else
    parsed.status = lists.status();
  return parsed;
}

}  // namespace

PlatformLink::PlatformLink(asio::io_context& context,
                           Engine& engine,
                           ConfigStore& store,
                           InstanceDirectory& directory,
                           SeatLeases& seats,
                           PeerRpc& rpc)
    : m_context(context), m_engine(engine), m_store(store), m_directory(directory), m_seats(seats), m_rpc(rpc) {}

PlatformLink::~PlatformLink() {
  m_parser_thread.join();
}

void PlatformLink::RecordResult(const absl::Status& status) {
  ++m_request_count;
  if (!status.ok())
    ++m_failure_count;
  if (status.ok() == m_platform_reachable)
    return;
  m_platform_reachable = status.ok();
  if (status.ok())
    Log(LogLevel::kInfo, "platform_reachable");
  else
    Log(LogLevel::kWarning, "platform_unreachable", {{"error", MessageOf(status)}});
}

void PlatformLink::Poll() {
  if (std::exchange(m_polling, true))
    return;
  asio::co_spawn(m_context, RunPoll(), asio::detached);
}

asio::awaitable<void> PlatformLink::RunPoll() {
  co_await PollLists();
  co_await PollDirectory();
  m_polling = false;
}

asio::awaitable<void> PlatformLink::PollLists() {
  TimePoint started_at = m_engine.BootTime();
  auto revision = co_await m_store.ReadRevision();
  RecordResult(revision.status());
  if (!revision.ok())
    co_return;
  if (!revision->exists) {
    m_engine.Post(Event::StoreConfirmed{m_engine.Now(), 0, started_at});
    co_return;
  }
  if (revision->revision == m_stored_revision) {
    m_engine.Post(Event::StoreConfirmed{m_engine.Now(), m_stored_generation, started_at});
    co_return;
  }
  started_at = m_engine.BootTime();
  auto value = co_await m_store.Read();
  RecordResult(value.status());
  if (value.ok() && value->exists)
    co_await ProcessDocument(std::move(value->value), value->revision, started_at);
}

asio::awaitable<void> PlatformLink::PollDirectory() {
  const bool whole = m_directory_revision == 0 || m_engine.Now() - m_full_listing_at > kFullListingPeriod;
  auto listing = co_await m_directory.List(whole ? 0 : m_directory_revision);
  RecordResult(listing.status());
  if (!listing.ok())
    co_return;
  m_directory_revision = listing->revision;
  if (whole)
    m_full_listing_at = m_engine.Now();
  PostDirectory(*listing);
}

void PlatformLink::PostDirectory(const DirectoryListing& listing) {
  Event::DirectoryReceived event;
  event.now = m_engine.Now();
  event.whole = listing.is_snapshot;
  for (const DirectoryEntry& entry : listing.entries) {
    if (entry.kind == DirectoryEntry::Kind::kUpstream) {
      event.endpoints.push_back({entry.name, entry.incarnation, entry.leaving});
      continue;
    }
    Member member;
    member.name = entry.name;
    member.failure_domain = entry.failure_domain;
    member.address = entry.address;
    member.peer_address = entry.peer_address;
    member.leaving = entry.leaving;
    event.members.push_back(std::move(member));
  }
  m_engine.Post(std::move(event));
}

asio::awaitable<void> PlatformLink::ProcessDocument(std::string text, int64_t revision, TimePoint started_at) {
  ParsedDocument parsed;
  if (text == m_document) {
    parsed.generation = m_document_generation;
  } else {
    // Parsing lists of full size takes milliseconds, so it must not block calls on the event loop.
    co_await asio::post(m_parser_thread, asio::use_awaitable);
    parsed = ParseDocument(text);
    co_await asio::post(m_context, asio::use_awaitable);
  }
  if (!parsed.status.ok()) {
    Log(LogLevel::kError, "lists_unusable", {{"error", MessageOf(parsed.status)}});
    co_return;
  }
  const bool newer = parsed.lists != nullptr && parsed.generation > m_document_generation;
  if (newer) {
    m_document = std::move(text);
    m_document_generation = parsed.generation;
    m_parsed_document = parsed.document;
    m_rpc.Publish(parsed.document);
    Log(LogLevel::kInfo, "lists_in_force",
        {{"generation", std::to_string(parsed.generation)}, {"source", revision > 0 ? "platform" : "peer"}});
    m_engine.Post(Event::ListsReceived{m_engine.Now(), parsed.generation, parsed.lists});
  }
  if (revision <= 0)
    co_return;
  m_stored_revision = revision;
  m_stored_generation = parsed.generation;
  m_engine.Post(Event::StoreConfirmed{m_engine.Now(), parsed.generation, started_at});
}

void PlatformLink::SetWatching(bool on) {
  m_watch_enabled = on;
  if (on && !std::exchange(m_watch_running, true))
    asio::co_spawn(m_context, RunWatch(), asio::detached);
  if (!on)
    m_watch_canceller.Cancel();
}

asio::awaitable<void> PlatformLink::RunWatch() {
  while (m_watch_enabled) {
    ++m_request_count;
    co_await m_store.Watch(
        [this](StoredValue value) {
          asio::co_spawn(m_context, ProcessDocument(std::move(value.value), value.revision), asio::detached);
        },
        m_watch_canceller);
    asio::steady_timer pause(m_context, kWatchRetryDelay);
    co_await pause.async_wait(asio::use_awaitable);
  }
  m_watch_running = false;
}

void PlatformLink::Restore(uint64_t generation) {
  if (generation == m_document_generation)
    asio::co_spawn(m_context, RunRestore(), asio::detached);
}

asio::awaitable<void> PlatformLink::RunRestore() {
  auto value = co_await m_store.Read();
  RecordResult(value.status());
  if (!value.ok())
    co_return;
  uint64_t stored = 0;
  if (value->exists) {
    const auto document = DecodeDocument(value->value);
    stored = document.ok() ? document->generation : 0;
  }
  if (stored >= m_document_generation)
    co_return;
  // The compare-and-swap fails if that read was stale or an operator has written in the meantime.
  const auto written = co_await m_store.CompareAndSwap(value->revision, m_document);
  RecordResult(written.status());
  if (written.ok() && *written) {
    Log(LogLevel::kWarning, "lists_restored",
        {{"generation", std::to_string(m_document_generation)}, {"store_had", std::to_string(stored)}});
  }
}

void PlatformLink::ClaimSeat(uint32_t seat) {
  if (m_pending_claims.insert(seat).second)
    asio::co_spawn(m_context, RunClaim(seat), asio::detached);
}

asio::awaitable<void> PlatformLink::RunClaim(uint32_t seat) {
  const TimePoint before = m_engine.Now();
  const auto held = co_await m_seats.Claim(seat);
  RecordResult(held.status());
  m_pending_claims.erase(seat);
  if (!held.ok())
    co_return;
  const auto usable_duration = std::chrono::duration_cast<Duration>(m_seats.Ttl() * kUsableLeaseFraction);
  if (*held)
    m_engine.Post(Event::SeatGranted{m_engine.Now(), seat, before + usable_duration});
  else
    m_engine.Post(Event::SeatRefused{m_engine.Now(), seat});
}

void PlatformLink::ReleaseSeat(uint32_t seat) {
  asio::co_spawn(m_context, RunRelease(seat), asio::detached);
}

asio::awaitable<void> PlatformLink::RunRelease(uint32_t seat) {
  const absl::Status status = co_await m_seats.Release(seat);
  RecordResult(status);
}

void PlatformLink::FetchUpdate(const std::string& peer_address) {
  Fetch(peer_address, false);
}

void PlatformLink::Fetch(const std::string& peer_address, bool whole) {
  const auto on_fetched = [this, peer_address](absl::StatusOr<FetchedLists> fetched) {
    if (!fetched.ok())
      return;
    asio::post(m_context, [this, peer_address, lists = *std::move(fetched)]() mutable {
      if (lists.delta.has_value())
        asio::co_spawn(m_context, ProcessDelta(*std::move(lists.delta), peer_address), asio::detached);
      else if (!lists.document.empty())
        asio::co_spawn(m_context, ProcessDocument(std::move(lists.document), 0), asio::detached);
    });
  };
  m_rpc.Fetch(peer_address, m_document_generation, whole, on_fetched);
}

asio::awaitable<void> PlatformLink::ProcessDelta(ListsDelta delta, std::string peer_address) {
  if (m_parsed_document == nullptr || delta.base_generation != m_document_generation)
    co_return;
  const auto document = ApplyDelta(*m_parsed_document, delta);
  const auto text = document.ok() ? EncodeDocument(*document) : absl::StatusOr<std::string>(document.status());
  if (text.ok())
    co_await ProcessDocument(*text, 0);
  else
    Fetch(peer_address, true);
}

}  // namespace sassafras
