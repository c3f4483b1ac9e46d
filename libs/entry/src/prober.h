#pragma once

#include <cstdint>

#include "core/effect.h"
#include "core/event.h"
#include "http_types.h"

namespace sassafras {

class Engine;
class HttpDialect;
class UpstreamPool;

/** Sends probes to endpoints. A probe that can no longer be sent in time is dropped. */
class Prober {
 public:
  Prober(asio::any_io_executor executor, Engine& engine, UpstreamPool& pool, const HttpDialect& dialect)
      : m_executor(std::move(executor)), m_engine(engine), m_pool(pool), m_dialect(dialect) {}

  void Send(const Effect::SendProbe& probe);

  /** Number of probes sent. */
  uint64_t SentCount() const { return m_sent; }
  /** Number of probes dropped because the time by which they had to be sent had passed. */
  uint64_t WithdrawnCount() const { return m_withdrawn; }

 private:
  asio::awaitable<void> Run(Effect::SendProbe probe, std::string name, std::string address, std::string path);
  /** Sends one probe over a pooled or a new connection; `reused` is set if it was a pooled one. */
  asio::awaitable<error_code> SendAndReceive(const std::string& name,
                                             const std::string& address,
                                             const std::string& path,
                                             TimePoint not_after,
                                             bool& reused,
                                             Event::ProbeEnded& ended);

  asio::any_io_executor m_executor;
  Engine& m_engine;
  UpstreamPool& m_pool;
  const HttpDialect& m_dialect;
  uint64_t m_sent = 0;
  uint64_t m_withdrawn = 0;
};

}  // namespace sassafras
