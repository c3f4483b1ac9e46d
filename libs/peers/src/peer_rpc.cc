#include "peers/peer_rpc.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <future>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include <capnp/rpc-twoparty.h>
#include <fmt/format.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>

#include "base/error.h"
#include "generated/peer.capnp.h"
#include "lists/lists_delta.h"
#include "lists_delta_codec.h"
#include "net/http_client.h"

namespace sassafras {
namespace {

constexpr kj::Duration kCallTimeout = 1'500 * kj::MILLISECONDS;
/** Limit on the words read from a peer's answer: enough for the largest document, with some margin. */
constexpr uint64_t kTraversalLimitWords = 262'144;
/** Documents kept, the newest included, as bases of deltas. */
constexpr size_t kMaxDocuments = 4;

/** A fetch whose result has to be passed on once: with an error at the latest when the fetch is dropped. */
class PendingFetch {
 public:
  PendingFetch(std::string address, PeerRpc::OnFetched on_fetched)
      : m_address(std::move(address)), m_on_fetched(std::move(on_fetched)) {}
  ~PendingFetch() { Fail("not fetched before this instance stopped"); }
  PendingFetch(const PendingFetch&) = delete;
  PendingFetch& operator=(const PendingFetch&) = delete;

  void Complete(absl::StatusOr<FetchedLists> lists) {
    if (const auto on_fetched = std::exchange(m_on_fetched, nullptr))
      on_fetched(std::move(lists));
  }
  void Fail(std::string_view description) {
    Complete(MakeError(ErrorKind::kUnreachable, fmt::format("peer {}: {}", m_address, description),
                       "check that the peer runs"));
  }
  const std::string& Address() const { return m_address; }

 private:
  std::string m_address;
  PeerRpc::OnFetched m_on_fetched;
};

}  // namespace

/** State shared by the caller's thread and the RPC thread; `mutex` guards the documents, the requests and `stop`. */
struct PeerRpc::SharedState {
  struct Request {
    std::shared_ptr<PendingFetch> fetch;
    uint64_t above_generation = 0;
    bool full_document = false;
  };

  ~SharedState() { ::close(wake_fd); }
  void Wake() const {
    const uint64_t one = 1;
    // The eventfd counter cannot overflow: the RPC thread resets it on each wake-up.
    [[maybe_unused]] const ssize_t written = ::write(wake_fd, &one, sizeof(one));
  }

  std::mutex mutex;
  /** Oldest first. */
  std::deque<std::shared_ptr<const ListsDocument>> documents;
  std::vector<Request> requests;
  bool stop = false;
  int wake_fd = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  std::thread thread;
};

namespace {

/** Answers requests of peers with the published document. A template because PeerRpc::SharedState is private. */
template <typename SharedState>
class PeerServer final : public wire::Peer::Server {
 public:
  explicit PeerServer(std::shared_ptr<SharedState> shared) : m_shared(std::move(shared)) {}

 protected:
  kj::Promise<void> fetchLists(FetchListsContext context) override {
    const uint64_t above_generation = context.getParams().getAbove();
    const auto [newest, base] = FindDocuments(above_generation);
    auto results = context.getResults();
    if (newest == nullptr)
      return kj::READY_NOW;
    results.setGeneration(newest->generation);
    if (newest->generation <= above_generation)
      return kj::READY_NOW;
    const auto delta = base == nullptr || context.getParams().getWhole() ? std::nullopt : MakeDelta(*base, *newest);
    if (delta.has_value()) {
      WriteDelta(*delta, results.initDelta());
      return kj::READY_NOW;
    }
    const auto text = EncodeDocument(*newest);
    if (text.ok())
      results.setDocument(kj::arrayPtr(reinterpret_cast<const kj::byte*>(text->data()), text->size()));
    return kj::READY_NOW;
  }

 private:
  using Document = std::shared_ptr<const ListsDocument>;

  /** Returns the newest document and the one of the given generation; null for one that is not kept. */
  std::pair<Document, Document> FindDocuments(uint64_t generation) const {
    const std::lock_guard lock(m_shared->mutex);
    const auto& documents = m_shared->documents;
    const auto base = std::find_if(documents.begin(), documents.end(),
                                   [&](const Document& document) { return document->generation == generation; });
    return {documents.empty() ? nullptr : documents.back(), base == documents.end() ? nullptr : *base};
  }

  std::shared_ptr<SharedState> m_shared;
};

/** One outgoing connection; lives until its call has ended. */
struct Client {
  explicit Client(kj::Own<kj::AsyncIoStream> stream_in)
      : stream(kj::mv(stream_in)),
        network(*stream, capnp::rpc::twoparty::Side::CLIENT, Options()),
        rpc(capnp::makeRpcClient(network)) {}

  static capnp::ReaderOptions Options() {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kTraversalLimitWords;
    return options;
  }

  wire::Peer::Client Peer() {
    capnp::MallocMessageBuilder builder;
    auto vat = builder.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc.bootstrap(vat).castAs<wire::Peer>();
  }

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

/** Ignores failures of connections: each affects one peer only, and callers get their own errors. */
class IgnoringErrorHandler final : public kj::TaskSet::ErrorHandler {
 public:
  void taskFailed(kj::Exception&& /*exception*/) override {}
};

kj::Promise<FetchedLists> FetchFrom(kj::Network& network,
                                    const std::string& address,
                                    uint64_t above_generation,
                                    bool full_document) {
  return network.parseAddress(address.c_str())
      .then([](kj::Own<kj::NetworkAddress> parsed) {
        auto connected = parsed->connect();
        return connected.attach(kj::mv(parsed));
      })
      .then([above_generation, full_document](kj::Own<kj::AsyncIoStream> stream) {
        auto client = kj::heap<Client>(kj::mv(stream));
        auto request = client->Peer().fetchListsRequest();
        request.setAbove(above_generation);
        request.setWhole(full_document);
        return request.send()
            .then([](capnp::Response<wire::Peer::FetchListsResults> response) {
              FetchedLists lists;
              lists.generation = response.getGeneration();
              const auto document = response.getDocument();
              lists.document.assign(reinterpret_cast<const char*>(document.begin()), document.size());
              if (response.hasDelta())
                lists.delta = ReadDelta(response.getDelta());
              return lists;
            })
            .attach(kj::mv(client));
      });
}

/** Event loop of the RPC thread: serves peers and sends requests queued by the caller's thread. */
template <typename SharedState>
class RpcLoop {
 public:
  RpcLoop(std::shared_ptr<SharedState> shared)
      : m_shared(std::move(shared)),
        m_io(kj::setupAsyncIo()),
        m_tasks(m_error_handler),
        m_server(kj::heap<PeerServer<SharedState>>(m_shared)),
        m_wake_observer(m_io.unixEventPort, m_shared->wake_fd, kj::UnixEventPort::FdObserver::OBSERVE_READ) {}

  void Run(const std::string& address, std::promise<absl::Status> started) {
    const kj::Maybe<kj::Exception> failure = kj::runCatchingExceptions([&] { Listen(address); });
    if (failure != nullptr) {
      started.set_value(MakeError(ErrorKind::kUnreachable, fmt::format("peer_listen {}: cannot listen", address),
                                  "use an address of this instance whose TCP port is free"));
      return;
    }
    started.set_value(absl::OkStatus());
    while (!StartRequests())
      m_wake_observer.whenBecomesReadable().wait(m_io.waitScope);
  }

 private:
  void Listen(const std::string& address) {
    auto parsed = m_io.provider->getNetwork().parseAddress(address.c_str()).wait(m_io.waitScope);
    m_listener = parsed->listen();
    m_tasks.add(m_server.listen(*m_listener));
  }

  /** Sends all queued requests; returns whether the loop is to end. */
  bool StartRequests() {
    uint64_t count = 0;
    [[maybe_unused]] const ssize_t read = ::read(m_shared->wake_fd, &count, sizeof(count));
    decltype(m_shared->requests) requests;
    {
      const std::lock_guard lock(m_shared->mutex);
      if (m_shared->stop)
        return true;
      requests.swap(m_shared->requests);
    }
    for (auto& request : requests)
      m_tasks.add(SendRequest(std::move(request)));
    return false;
  }

  kj::Promise<void> SendRequest(typename SharedState::Request request) {
    const auto fetch = request.fetch;
    return m_io.provider->getTimer()
        .timeoutAfter(kCallTimeout, FetchFrom(m_io.provider->getNetwork(), fetch->Address(), request.above_generation,
                                              request.full_document))
        .then([fetch](FetchedLists lists) { fetch->Complete(std::move(lists)); },
              [fetch](kj::Exception&& failure) { fetch->Fail(failure.getDescription().cStr()); });
  }

  std::shared_ptr<SharedState> m_shared;
  kj::AsyncIoContext m_io;
  IgnoringErrorHandler m_error_handler;
  kj::TaskSet m_tasks;
  capnp::TwoPartyServer m_server;
  kj::Own<kj::ConnectionReceiver> m_listener;
  kj::UnixEventPort::FdObserver m_wake_observer;
};

}  // namespace

PeerRpc::PeerRpc() : m_shared(std::make_shared<SharedState>()) {}

PeerRpc::~PeerRpc() {
  {
    const std::lock_guard lock(m_shared->mutex);
    m_shared->stop = true;
  }
  m_shared->Wake();
  if (m_shared->thread.joinable())
    m_shared->thread.join();
  // Requests that the thread did not take up; destroyed without the lock, because their callbacks may use it.
  std::vector<SharedState::Request> untaken;
  {
    const std::lock_guard lock(m_shared->mutex);
    untaken.swap(m_shared->requests);
  }
}

absl::Status PeerRpc::Start(const std::string& address) {
  if (const auto parsed = ParseAddress(address); !parsed.ok())
    return parsed.status();
  std::promise<absl::Status> started;
  std::future<absl::Status> result = started.get_future();
  m_shared->thread = std::thread([shared = m_shared, address, promise = std::move(started)]() mutable {
    RpcLoop<SharedState> loop(std::move(shared));
    loop.Run(address, std::move(promise));
  });
  return result.get();
}

void PeerRpc::Publish(std::shared_ptr<const ListsDocument> document) {
  const std::lock_guard lock(m_shared->mutex);
  m_shared->documents.push_back(std::move(document));
  if (m_shared->documents.size() > kMaxDocuments)
    m_shared->documents.pop_front();
}

void PeerRpc::Fetch(std::string address, uint64_t above_generation, bool full_document, OnFetched on_fetched) {
  auto fetch = std::make_shared<PendingFetch>(std::move(address), std::move(on_fetched));
  {
    const std::lock_guard lock(m_shared->mutex);
    m_shared->requests.push_back({std::move(fetch), above_generation, full_document});
  }
  m_shared->Wake();
}

}  // namespace sassafras
