#pragma once

#include <memory>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>

#include "entry/platform_adapters.h"

namespace sassafras {

class Clock;
struct Settings;

/** One entry instance: everything that `sassafrasd` runs, on the thread of the io_context and the peer RPC thread. */
class EntryInstance {
 public:
  /** @param clock  must outlive the instance */
  EntryInstance(boost::asio::io_context& context,
                const Settings& settings,
                const Clock& clock,
                PlatformAdapters adapters = {});
  ~EntryInstance();
  EntryInstance(const EntryInstance&) = delete;
  EntryInstance& operator=(const EntryInstance&) = delete;

  /** Opens all listening sockets and starts serving. An error names the setting that has to be corrected. */
  absl::Status Start();

  /**
   * Starts a graceful stop: withdraws the instance from the address list, keeps serving until the address
   * lists cached by callers have expired, completes the requests in progress and then stops the io_context. Further
   * calls have no effect.
   */
  void RequestStop();

  /**
   * Applies the settings that can change at run time and ignores the others. The log line only says whether changed
   * addresses need a restart.
   */
  void Reload(const Settings& settings);

  /** Number of requests that were aborted because the stop exceeded its time limit. */
  size_t AbortedRequestCount() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sassafras
