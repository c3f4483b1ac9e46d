#pragma once

#include <memory>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>

#include "entry/surroundings.h"

namespace sassafras {

class Clock;
struct Settings;

/** One entry instance: everything that `sassafrasd` runs, on one thread and the peers' RPC thread. */
class EntryInstance {
 public:
  /** @param clock  must outlive the instance */
  EntryInstance(boost::asio::io_context& context,
                const Settings& settings,
                const Clock& clock,
                Surroundings surroundings = {});
  ~EntryInstance();
  EntryInstance(const EntryInstance&) = delete;
  EntryInstance& operator=(const EntryInstance&) = delete;

  /** Opens all sockets and starts to work; an error names the setting to mend. */
  absl::Status Start();

  /**
   * Starts a planned stop: leaves the address answers, serves until those have run out, ends every request
   * in progress and then lets the io_context run out of work. Calling it again changes nothing.
   */
  void RequestStop();

  /** Puts changed settings into force as far as that is possible while running; the log names the others. */
  void Reload(const Settings& settings);

  /** Requests that were cut off because the stop took longer than its limit. */
  size_t CutRequests() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sassafras
