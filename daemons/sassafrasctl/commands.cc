#include "commands.h"

#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

#include <boost/json.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include "apply.h"
#include "base/error.h"
#include "burn_report.h"
#include "config_check.h"
#include "ctl_options.h"
#include "lists/lists.h"
#include "lists/lists_document.h"
#include "working_copy.h"

namespace sassafras {

namespace asio = boost::asio;
namespace json = boost::json;

Commands::Commands(const CtlOptions& options)
    : m_options(options),
      m_store(options.platform, "sassafrasctl"),
      m_fleet(options.instances, m_store),
      m_printer(options.json) {}

const Commands::Command Commands::kCommands[] = {
    {"check", &Commands::Check},    {"show", &Commands::Show},       {"diff", &Commands::Diff},
    {"apply", &Commands::RunApply}, {"outcome", &Commands::Outcome}, {"status", &Commands::Status},
    {"burn", &Commands::Burn},
};

asio::awaitable<ExitCode> Commands::Run() {
  for (const Command& row : kCommands) {
    if (row.name == m_options.command)
      co_return co_await (this->*row.run)();
  }
  fmt::print(stderr, "sassafrasctl: unknown command '{}'; see 'sassafrasctl --help'\n", m_options.command);
  co_return ExitCode::kUsage;
}

ExitCode Commands::ReportFailure(const absl::Status& status) {
  m_printer.PrintFailure(ErrorKindName(ErrorKindOf(status)), MessageOf(status));
  return ExitCodeFor(status);
}

asio::awaitable<ExitCode> Commands::RunApply() {
  co_return co_await Apply(m_options, m_store, m_fleet, m_printer).Run();
}

asio::awaitable<ExitCode> Commands::Check() {
  if (!m_options.file.empty())
    co_return co_await ConfigCheck(m_options, m_printer).Run();
  WorkingCopy copy(m_options.dir);
  const auto lists = copy.Load();
  if (!lists.ok())
    co_return ReportFailure(lists.status());
  m_printer.PrintResult({{"result", "valid"},
                         {"plans", lists->plans.size()},
                         {"services", lists->services.size()},
                         {"endpoints", lists->endpoints.size()}},
                        fmt::format("valid: {} plans, {} services, {} endpoints\n", lists->plans.size(),
                                    lists->services.size(), lists->endpoints.size()));
  co_return ExitCode::kDone;
}

asio::awaitable<ExitCode> Commands::Show() {
  const auto value = co_await m_store.Read();
  if (!value.ok())
    co_return ReportFailure(value.status());
  if (!value->exists) {
    co_return ReportFailure(MakeError(ErrorKind::kInvalidValue, "the platform holds no lists yet",
                                      "write plans.toml and upstreams.toml and run 'sassafrasctl apply'"));
  }
  const auto document = DecodeDocument(value->value);
  if (!document.ok())
    co_return ReportFailure(document.status());
  if (absl::Status status = WorkingCopy(m_options.dir).SaveAll(*document); !status.ok())
    co_return ReportFailure(status);
  m_printer.PrintResult(
      {{"generation", document->generation}, {"author", document->author}, {"dir", m_options.dir}},
      fmt::format("generation {} by {} written to {}\n", document->generation, document->author, m_options.dir));
  co_return ExitCode::kDone;
}

asio::awaitable<ExitCode> Commands::Diff() {
  WorkingCopy copy(m_options.dir);
  const auto lists = copy.Load();
  if (!lists.ok())
    co_return ReportFailure(lists.status());
  const auto value = co_await m_store.Read();
  if (!value.ok())
    co_return ReportFailure(value.status());
  Lists stored_lists;
  if (value->exists) {
    const auto document = DecodeDocument(value->value);
    if (!document.ok())
      co_return ReportFailure(document.status());
    const auto parsed = ParseLists(document->plans_toml, document->upstreams_toml);
    if (!parsed.ok())
      co_return ReportFailure(parsed.status());
    stored_lists = *parsed;
  }
  const std::vector<std::string> lines = DiffLists(stored_lists, *lists);
  m_printer.PrintResult({{"changes", json::value_from(lines)}},
                        lines.empty() ? "no difference\n" : fmt::format("{}\n", fmt::join(lines, "\n")));
  co_return ExitCode::kDone;
}

asio::awaitable<ExitCode> Commands::Outcome() {
  if (m_options.change_id.empty()) {
    fmt::print(stderr, "sassafrasctl: outcome needs --change-id; it was printed by apply\n");
    co_return ExitCode::kUsage;
  }
  co_return co_await Apply(m_options, m_store, m_fleet, m_printer).Outcome();
}

asio::awaitable<ExitCode> Commands::Status() {
  const auto pages = co_await m_fleet.FetchFromAll("/sassafras/status");
  json::array rows;
  std::string text = fmt::format("{:<22} {:<12} {:<9} {:>10} {:>6} {:>8} {:>8} {:>6}\n", "address", "instance", "phase",
                                 "generation", "peers", "running", "waiting", "seats");
  size_t unreachable = 0;
  for (const Fleet::Page& page : pages) {
    if (!page.ok) {
      ++unreachable;
      rows.push_back(json::object{{"address", page.address}, {"error", page.error}});
      text += fmt::format("{:<22} no answer: {}\n", page.address, page.error);
      continue;
    }
    const json::object& body = page.body;
    const auto number = [&](std::string_view key) { return body.at(key).to_number<int64_t>(); };
    text += fmt::format("{:<22} {:<12} {:<9} {:>10} {:>6} {:>8} {:>8} {:>6}\n", page.address,
                        std::string(body.at("instance").as_string()), std::string(body.at("phase").as_string()),
                        number("generation"), number("peers"), number("calls_in_progress"), number("calls_waiting"),
                        number("probe_seats"));
    rows.push_back(body);
  }
  m_printer.PrintResult({{"instances", std::move(rows)}}, text);
  if (pages.empty()) {
    co_return ReportFailure(MakeError(ErrorKind::kUnreachable,
                                      "no entry instances are known: the platform's list is empty or cannot be read",
                                      "name some with --instances, or check --platform"));
  }
  co_return unreachable == 0 ? ExitCode::kDone : ExitCode::kUnreachable;
}

asio::awaitable<ExitCode> Commands::Burn() {
  const auto pages = co_await m_fleet.FetchFromAll("/sassafras/burn");
  const BurnReport report(pages);
  m_printer.PrintResult(report.ToJson(), report.ToText());
  if (!m_options.html_path.empty()) {
    std::ofstream file(m_options.html_path);
    file << report.ToHtml();
    file.close();
    if (!file) {
      co_return ReportFailure(MakeError(ErrorKind::kInaccessibleFile,
                                        fmt::format("{}: cannot be written", m_options.html_path),
                                        "name a file in a folder that exists"));
    }
  }
  co_return pages.empty() ? ExitCode::kUnreachable : ExitCode::kDone;
}

}  // namespace sassafras
