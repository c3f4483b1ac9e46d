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
 * Cap'n Proto RPC between entry instances. It runs on a thread of its own because the library has its own event
 * loop. Callbacks run on that thread and must post their results to the thread that needs them.
 */
class PeerRpc {
 public:
  using OnFetched = std::function<void(absl::StatusOr<FetchedLists>)>;

  PeerRpc();
  ~PeerRpc();
  PeerRpc(const PeerRpc&) = delete;
  PeerRpc& operator=(const PeerRpc&) = delete;

  /** Starts the RPC thread and serves peers at IP:port. */
  absl::Status Start(const std::string& address);
  /** Sets the document that peers fetch from here; keeps a few earlier ones as bases of deltas. */
  void Publish(std::shared_ptr<const ListsDocument> document);
  /**
   * Asks a peer for lists of a generation above `above_generation`; `on_fetched` is called once, on the RPC thread. A
   * fetch that is pending when this object is destroyed ends with an error, by the time the destructor returns and, if
   * the RPC thread has not taken it up, on the thread that destroys this object.
   * @param full_document  whether to ask for the full document and not for a delta
   */
  void Fetch(std::string address, uint64_t above_generation, bool full_document, OnFetched on_fetched);

 private:
  struct SharedState;
  std::shared_ptr<SharedState> m_shared;
};

}  // namespace sassafras
