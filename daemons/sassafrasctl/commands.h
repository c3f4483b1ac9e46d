#pragma once

#include <string_view>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>

#include "exit_code.h"
#include "fleet.h"
#include "printer.h"
#include "store/etcd_client.h"

namespace sassafras {

struct CtlOptions;

/** Runs one command of sassafrasctl. */
class Commands {
 public:
  explicit Commands(const CtlOptions& options);

  /** Runs the command named in the options. */
  boost::asio::awaitable<ExitCode> Run();

 private:
  struct Command {
    std::string_view name;
    boost::asio::awaitable<ExitCode> (Commands::*run)();
  };
  static const Command kCommands[];

  ExitCode ReportFailure(const absl::Status& status);

  boost::asio::awaitable<ExitCode> Check();
  boost::asio::awaitable<ExitCode> Show();
  boost::asio::awaitable<ExitCode> Diff();
  boost::asio::awaitable<ExitCode> RunApply();
  boost::asio::awaitable<ExitCode> Outcome();
  boost::asio::awaitable<ExitCode> Status();
  boost::asio::awaitable<ExitCode> Burn();

  const CtlOptions& m_options;
  EtcdClient m_store;
  Fleet m_fleet;
  Printer m_printer;
};

}  // namespace sassafras
