#pragma once

#include <string>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "exit_code.h"
#include "printer.h"

namespace sassafras {

struct CtlOptions;

/** The command `check FILE`: checks a configuration in the form in which it is sent to the platform. */
class ConfigCheck {
 public:
  ConfigCheck(const CtlOptions& options, const Printer& printer) : m_options(options), m_printer(printer) {}

  boost::asio::awaitable<ExitCode> Run();

 private:
  /** Reads the configuration to compare with; empty if there is none. */
  boost::asio::awaitable<absl::StatusOr<std::string>> ReadOther() const;
  ExitCode ReportUnusable(const absl::Status& status) const;

  const CtlOptions& m_options;
  const Printer& m_printer;
};

}  // namespace sassafras
