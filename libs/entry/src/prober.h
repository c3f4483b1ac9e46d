#pragma once

#include <cstdint>

#include "core/effect.h"
#include "http_types.h"

namespace sassafras {

class Engine;

/** Sends probes. A probe is lost rather than late. */
class Prober {
 public:
  Prober(asio::any_io_executor executor, Engine& engine) : m_executor(std::move(executor)), m_engine(engine) {}

  void Send(const Effect::SendProbe& probe);

  /** Probes that left, and probes withdrawn because the right to probe had lapsed. */
  uint64_t Sent() const { return m_sent; }
  uint64_t Withdrawn() const { return m_withdrawn; }

 private:
  asio::awaitable<void> Run(Effect::SendProbe probe, std::string address, std::string path);

  asio::any_io_executor m_executor;
  Engine& m_engine;
  uint64_t m_sent = 0;
  uint64_t m_withdrawn = 0;
};

}  // namespace sassafras
