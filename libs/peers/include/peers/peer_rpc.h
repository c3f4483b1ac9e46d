#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "lists/lists_document.h"
#include "peers/fetched_lists.h"

namespace sassafras {

/**
 * Cap'n Proto RPC between entry instances, on a thread of its own because the library brings its own event
 * loop. Results are handed over on that thread; the caller posts them to its own.
 */
class PeerRpc {
 public:
  using OnFetched = std::function<void(absl::StatusOr<FetchedLists>)>;

  PeerRpc();
  ~PeerRpc();
  PeerRpc(const PeerRpc&) = delete;
  PeerRpc& operator=(const PeerRpc&) = delete;

  /** Starts to serve at IP:port. */
  absl::Status Start(const std::string& address);
  /** Adds the newest document, which peers may fetch from here; a few earlier ones are kept to make deltas. */
  void Publish(std::shared_ptr<const ListsDocument> document);
  /**
   * Asks a peer for lists above `above`; `on_fetched` is called once, on the RPC thread.
   * @param whole  ask for the whole document, not for a delta
   */
  void Fetch(std::string address, uint64_t above, bool whole, OnFetched on_fetched);

 private:
  struct Shared;
  std::shared_ptr<Shared> m_shared;
};

}  // namespace sassafras
