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

constexpr kj::Duration kCallLimit = 1'500 * kj::MILLISECONDS;
/** Words that a peer's answer may take: a document of the largest size and some room. */
constexpr uint64_t kReadLimitWords = 262'144;
/** Documents kept to make deltas from. */
constexpr size_t kDocumentsKept = 4;

}  // namespace

/** What both threads touch, guarded by the mutex. */
struct PeerRpc::Shared {
  struct Request {
    std::string address;
    uint64_t above = 0;
    bool whole = false;
    OnFetched on_fetched;
  };

  ~Shared() { ::close(wake_fd); }
  void Wake() const {
    const uint64_t one = 1;
    // The counter cannot overflow: the RPC thread resets it each time it wakes.
    [[maybe_unused]] const ssize_t written = ::write(wake_fd, &one, sizeof(one));
  }

  std::mutex mutex;
  /** Newest last. */
  std::deque<std::shared_ptr<const ListsDocument>> documents;
  std::vector<Request> requests;
  bool stop = false;
  int wake_fd = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  std::thread thread;
};

namespace {

/** Serves the published document. */
template <typename Shared>
class PeerServer final : public wire::Peer::Server {
 public:
  explicit PeerServer(std::shared_ptr<Shared> shared) : m_shared(std::move(shared)) {}

 protected:
  kj::Promise<void> fetchLists(FetchListsContext context) override {
    const uint64_t above = context.getParams().getAbove();
    const auto [newest, base] = Find(above);
    auto results = context.getResults();
    if (newest == nullptr)
      return kj::READY_NOW;
    results.setGeneration(newest->generation);
    if (newest->generation <= above)
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

  /** The newest document and the one of the given generation, where they are held. */
  std::pair<Document, Document> Find(uint64_t generation) const {
    const std::lock_guard lock(m_shared->mutex);
    const auto& documents = m_shared->documents;
    const auto base = std::find_if(documents.begin(), documents.end(),
                                   [&](const Document& document) { return document->generation == generation; });
    return {documents.empty() ? nullptr : documents.back(), base == documents.end() ? nullptr : *base};
  }

  std::shared_ptr<Shared> m_shared;
};

/** One outgoing connection; kept until its call has ended. */
struct Client {
  explicit Client(kj::Own<kj::AsyncIoStream> stream_in)
      : stream(kj::mv(stream_in)),
        network(*stream, capnp::rpc::twoparty::Side::CLIENT, Options()),
        rpc(capnp::makeRpcClient(network)) {}

  static capnp::ReaderOptions Options() {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kReadLimitWords;
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

/** Reports failures of connections; each concerns one peer only. */
class IgnoreFailures final : public kj::TaskSet::ErrorHandler {
 public:
  void taskFailed(kj::Exception&& /*exception*/) override {}
};

kj::Promise<FetchedLists> FetchFrom(kj::Network& network, const std::string& address, uint64_t above, bool whole) {
  return network.parseAddress(address.c_str())
      .then([](kj::Own<kj::NetworkAddress> parsed) {
        auto connected = parsed->connect();
        return connected.attach(kj::mv(parsed));
      })
      .then([above, whole](kj::Own<kj::AsyncIoStream> stream) {
        auto client = kj::heap<Client>(kj::mv(stream));
        auto request = client->Peer().fetchListsRequest();
        request.setAbove(above);
        request.setWhole(whole);
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

/** The RPC thread: serves peers and carries out requests from the other thread. */
template <typename Shared>
class RpcLoop {
 public:
  RpcLoop(std::shared_ptr<Shared> shared)
      : m_shared(std::move(shared)),
        m_io(kj::setupAsyncIo()),
        m_tasks(m_ignore),
        m_server(kj::heap<PeerServer<Shared>>(m_shared)),
        m_wake(m_io.unixEventPort, m_shared->wake_fd, kj::UnixEventPort::FdObserver::OBSERVE_READ) {}

  void Run(const std::string& address, std::promise<absl::Status> started) {
    const kj::Maybe<kj::Exception> failure = kj::runCatchingExceptions([&] { Listen(address); });
    if (failure != nullptr) {
      started.set_value(MakeError(ErrorKind::kUnreachable, fmt::format("peer_listen {}: cannot listen", address),
                                  "use an address of this instance whose TCP port is free"));
      return;
    }
    started.set_value(absl::OkStatus());
    while (!ServeRequests())
      m_wake.whenBecomesReadable().wait(m_io.waitScope);
  }

 private:
  void Listen(const std::string& address) {
    auto parsed = m_io.provider->getNetwork().parseAddress(address.c_str()).wait(m_io.waitScope);
    m_listener = parsed->listen();
    m_tasks.add(m_server.listen(*m_listener));
  }

  /** Starts the requests that wait; returns whether the loop is to end. */
  bool ServeRequests() {
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
      m_tasks.add(Serve(std::move(request)));
    return false;
  }

  kj::Promise<void> Serve(typename Shared::Request request) {
    auto callback = std::make_shared<PeerRpc::OnFetched>(std::move(request.on_fetched));
    return m_io.provider->getTimer()
        .timeoutAfter(kCallLimit, FetchFrom(m_io.provider->getNetwork(), request.address, request.above, request.whole))
        .then([callback](FetchedLists lists) { (*callback)(std::move(lists)); },
              [callback, address = request.address](kj::Exception&& failure) {
                (*callback)(MakeError(ErrorKind::kUnreachable,
                                      fmt::format("peer {}: {}", address, failure.getDescription().cStr()),
                                      "check that the peer runs"));
              });
  }

  std::shared_ptr<Shared> m_shared;
  kj::AsyncIoContext m_io;
  IgnoreFailures m_ignore;
  kj::TaskSet m_tasks;
  capnp::TwoPartyServer m_server;
  kj::Own<kj::ConnectionReceiver> m_listener;
  kj::UnixEventPort::FdObserver m_wake;
};

}  // namespace

PeerRpc::PeerRpc() : m_shared(std::make_shared<Shared>()) {}

PeerRpc::~PeerRpc() {
  {
    const std::lock_guard lock(m_shared->mutex);
    m_shared->stop = true;
  }
  m_shared->Wake();
  if (m_shared->thread.joinable())
    m_shared->thread.join();
}

absl::Status PeerRpc::Start(const std::string& address) {
  if (const auto parsed = ParseAddress(address); !parsed.ok())
    return parsed.status();
  std::promise<absl::Status> started;
  std::future<absl::Status> result = started.get_future();
  m_shared->thread = std::thread([shared = m_shared, address, promise = std::move(started)]() mutable {
    RpcLoop<Shared> loop(std::move(shared));
    loop.Run(address, std::move(promise));
  });
  return result.get();
}

void PeerRpc::Publish(std::shared_ptr<const ListsDocument> document) {
  const std::lock_guard lock(m_shared->mutex);
  m_shared->documents.push_back(std::move(document));
  if (m_shared->documents.size() > kDocumentsKept)
    m_shared->documents.pop_front();
}

void PeerRpc::Fetch(std::string address, uint64_t above, bool whole, OnFetched on_fetched) {
  {
    const std::lock_guard lock(m_shared->mutex);
    m_shared->requests.push_back({std::move(address), above, whole, std::move(on_fetched)});
  }
  m_shared->Wake();
}

}  // namespace sassafras
