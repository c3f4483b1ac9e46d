#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>

#include "ctl_options.h"
#include "exit_code.h"
#include "lists/lists_document.h"

namespace sassafras {

class ConfigStore;
class Fleet;
class Printer;
class WorkingCopy;

/**
 * The `apply` command: writes the edited lists to the platform's store by compare-and-swap, and reports whether the
 * change was accepted, was refused or has an unknown outcome.
 */
class Apply {
 public:
  Apply(const CtlOptions& options, ConfigStore& store, Fleet& fleet, Printer& printer);

  boost::asio::awaitable<ExitCode> Run();
  /** The `outcome` command: reports whether the change with the id in the options was accepted. */
  boost::asio::awaitable<ExitCode> Outcome();

 private:
  /** Outcome of a write, as far as it is known. */
  enum class WriteOutcome { kAccepted, kRefused, kUnknown };

  /** Writes the validated lists of `copy` to the store and waits until they are in force. */
  boost::asio::awaitable<ExitCode> StoreAndWait(const WorkingCopy& copy);
  boost::asio::awaitable<WriteOutcome> Write(const ListsDocument& document, int64_t revision);
  /** Polls the store until it shows whether the write of the change took effect, or a timeout expires. */
  boost::asio::awaitable<WriteOutcome> DetermineOutcome(std::string change_id, int64_t revision);
  ExitCode ReportConflict(const ListsDocument& stored, const WorkingCopy& copy);
  boost::asio::awaitable<ExitCode> WaitUntilInForce(ListsDocument document);
  ExitCode ReportFailure(const absl::Status& status);

  const CtlOptions& m_options;
  ConfigStore& m_store;
  Fleet& m_fleet;
  Printer& m_printer;
};

}  // namespace sassafras
