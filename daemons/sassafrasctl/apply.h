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
 * The `apply` command: puts an edit of both lists into the platform's store by compare-and-swap and says
 * truthfully what became of it.
 */
class Apply {
 public:
  Apply(const CtlOptions& options, ConfigStore& store, Fleet& fleet, Printer& printer);

  boost::asio::awaitable<ExitCode> Run();
  /** The `outcome` command: whether the change with the given id was accepted. */
  boost::asio::awaitable<ExitCode> Outcome();

 private:
  /** What is known of a change after a write. */
  enum class Verdict { kAccepted, kRefused, kUnknown };

  boost::asio::awaitable<ExitCode> RunChecked(const WorkingCopy& copy);
  boost::asio::awaitable<Verdict> Write(const ListsDocument& document, int64_t revision);
  /** Reads the store again until it tells what became of the write. */
  boost::asio::awaitable<Verdict> FindOut(std::string change_id, int64_t revision);
  ExitCode RefuseStale(const ListsDocument& stored, const WorkingCopy& copy);
  boost::asio::awaitable<ExitCode> WaitInForce(ListsDocument document);
  ExitCode Fail(const absl::Status& status);

  const CtlOptions& m_options;
  ConfigStore& m_store;
  Fleet& m_fleet;
  Printer& m_printer;
};

}  // namespace sassafras
