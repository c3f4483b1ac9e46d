#include "config_check.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <system_error>
#include <utility>
#include <vector>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "base/error.h"
#include "ctl_options.h"
#include "platform/config_review.h"
#include "platform/kv_fleet_store.h"

namespace sassafras {
namespace {

namespace json = boost::json;
using platform::ConfigFinding;

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  std::error_code error;
  std::string text;
  // A folder can be opened, and reading it throws.
  if (!std::filesystem::is_directory(path, error)) {
    std::ifstream file(path, std::ios::binary);
    text.assign(std::istreambuf_iterator<char>(file), {});
  }
  if (text.empty()) {
    return MakeError(ErrorKind::kInaccessibleFile, fmt::format("{}: cannot be read, or is empty", path),
                     "name the file with the configuration");
  }
  return text;
}

json::array ToJson(const std::string& file, const std::vector<ConfigFinding>& findings) {
  json::array rows;
  for (const ConfigFinding& finding : findings) {
    rows.push_back(json::object{{"file", file},
                                {"entry", finding.entry},
                                {"field", finding.field},
                                {"message", finding.message},
                                {"remedy", finding.remedy}});
  }
  return rows;
}

std::string ToText(const std::string& file, const std::vector<ConfigFinding>& findings) {
  std::string text;
  for (const ConfigFinding& finding : findings) {
    text += fmt::format("{}: ", file);
    if (!finding.entry.empty())
      text += fmt::format("{}: ", finding.entry);
    if (!finding.field.empty())
      text += fmt::format("{}: ", finding.field);
    text += fmt::format("{}; {}\n", finding.message, finding.remedy);
  }
  return text;
}

}  // namespace

boost::asio::awaitable<absl::StatusOr<std::string>> ConfigCheck::ReadOther() const {
  if (!m_options.against.empty())
    co_return ReadFile(m_options.against);
  if (m_options.platform.empty())
    co_return std::string();
  absl::Status failure;
  for (const std::string& address : m_options.platform) {
    platform::KvFleetStore store(address);
    auto plans = co_await store.ReadPlans(ReadConsistency::kLinearizable);
    if (plans.ok())
      co_return std::move(plans->document);
    failure = plans.status();
  }
  co_return failure;
}

ExitCode ConfigCheck::ReportUnusable(const absl::Status& status) const {
  m_printer.PrintFailure(ErrorKindName(ErrorKindOf(status)), MessageOf(status));
  return ExitCode::kUnusable;
}

boost::asio::awaitable<ExitCode> ConfigCheck::Run() {
  const std::string& path = m_options.file;
  const auto document = ReadFile(path);
  if (!document.ok())
    co_return ReportUnusable(document.status());
  const auto other = co_await ReadOther();
  if (!other.ok())
    co_return ReportUnusable(other.status());
  const bool compare = !other->empty();
  const auto review =
      platform::ReviewConfig(*document, compare ? std::optional<std::string_view>(*other) : std::nullopt);
  if (!review.ok()) {
    co_return ReportUnusable(MakeError(ErrorKindOf(review.status()),
                                       fmt::format("{}: {}", path, MessageOf(review.status())),
                                       "instances would refuse it as a whole"));
  }
  const bool clean = review->findings.empty() && review->rejections.empty();
  std::string text = ToText(path, review->findings);
  if (!review->rejections.empty())
    text += "would be rejected that was served before:\n" + ToText(path, review->rejections);
  if (!review->changes.empty())
    text += "differences:\n";
  for (const std::string& line : review->changes)
    text += line + "\n";
  text += fmt::format("{}: version {:08x}, {} routes, {} services, {} accounts; {} findings\n", path,
                      review->generation, review->routes, review->services, review->accounts,
                      review->findings.size() + review->rejections.size());
  m_printer.PrintResult({{"file", path},
                         {"version", fmt::format("{:08x}", review->generation)},
                         {"routes", review->routes},
                         {"services", review->services},
                         {"accounts", review->accounts},
                         {"compared", compare},
                         {"findings", ToJson(path, review->findings)},
                         {"rejections", ToJson(path, review->rejections)},
                         {"changes", json::value_from(review->changes)}},
                        text);
  co_return clean ? ExitCode::kDone : ExitCode::kFindings;
}

}  // namespace sassafras
