#include "peers/peer_rpc.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstring>
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
#include "net/http_client.h"

namespace sassafras {
namespace {

constexpr kj::Duration kCallLimit = 1'500 * kj::MILLISECONDS;
/** Words that a peer's answer may take: a document of the largest size and some room. */
constexpr uint64_t kReadLimitWords = 256u * 1'024u;

}  // namespace

/** What both threads touch, guarded by the mutex. */
struct PeerRpc::Shared {
  struct Request {
    std::string address;
    uint64_t above = 0;
    OnFetched on_fetched;
  };

  ~Shared() { ::close(wake_fd); }
  void Wake() const {
    const uint64_t one = 1;
    // The counter cannot overflow: the RPC thread resets it each time it wakes.
    [[maybe_unused]] const ssize_t written = ::write(wake_fd, &one, sizeof(one));
  }

  std::mutex mutex;
  FetchedLists lists;
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
    const std::lock_guard lock(m_shared->mutex);
    const FetchedLists& lists = m_shared->lists;
    auto results = context.getResults();
    results.setGeneration(lists.generation);
    if (lists.generation > context.getParams().getAbove()) {
      results.setDocument(
          kj::arrayPtr(reinterpret_cast<const kj::byte*>(lists.document.data()), lists.document.size()));
    }
    return kj::READY_NOW;
  }

 private:
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

kj::Promise<FetchedLists> FetchFrom(kj::Network& network, const std::string& address, uint64_t above) {
  return network.parseAddress(address.c_str())
      .then([](kj::Own<kj::NetworkAddress> parsed) {
        auto connected = parsed->connect();
        return connected.attach(kj::mv(parsed));
      })
      .then([above](kj::Own<kj::AsyncIoStream> stream) {
        auto client = kj::heap<Client>(kj::mv(stream));
        auto request = client->Peer().fetchListsRequest();
        request.setAbove(above);
        return request.send()
            .then([](capnp::Response<wire::Peer::FetchListsResults> response) {
              FetchedLists lists;
              lists.generation = response.getGeneration();
              const auto document = response.getDocument();
              lists.document.assign(reinterpret_cast<const char*>(document.begin()), document.size());
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
      m_tasks.add(Serve(std::move(request.address), request.above, std::move(request.on_fetched)));
    return false;
  }

  kj::Promise<void> Serve(std::string address, uint64_t above, PeerRpc::OnFetched on_fetched) {
    auto callback = std::make_shared<PeerRpc::OnFetched>(std::move(on_fetched));
    return m_io.provider->getTimer()
        .timeoutAfter(kCallLimit, FetchFrom(m_io.provider->getNetwork(), address, above))
        .then([callback](FetchedLists lists) { (*callback)(std::move(lists)); },
              [callback, address](kj::Exception&& failure) {
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

void PeerRpc::Publish(FetchedLists lists) {
  const std::lock_guard lock(m_shared->mutex);
  m_shared->lists = std::move(lists);
}

void PeerRpc::Fetch(std::string address, uint64_t above, OnFetched on_fetched) {
  {
    const std::lock_guard lock(m_shared->mutex);
    m_shared->requests.push_back({std::move(address), above, std::move(on_fetched)});
  }
  m_shared->Wake();
}

}  // namespace sassafras
