#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

#include "base/error.h"
#include "base/parse_number.h"
#include "base/toml_reader.h"
#include "lists/lists.h"

namespace sassafras {
namespace {

using std::chrono::microseconds;

constexpr std::string_view kPlansFile = "plans.toml";
constexpr std::string_view kUpstreamsFile = "upstreams.toml";
constexpr microseconds kMinDuration{100};
constexpr microseconds kMaxDeadline = std::chrono::minutes(10);
constexpr microseconds kDefaultDeadline{2'000'000};
constexpr microseconds kDefaultObjectiveLatency{100'000};
constexpr double kMaxProbesPerSecond = 1'000.0;
/** With less, a window of 10 s has no room for a probe besides the reserved ones; see core/src/probe_schedule.h. */
constexpr double kMinProbesPerSecond = 0.3;

/** One `[[permit]]` row: the service, and optionally the endpoints, that a plan may use. */
struct Permit {
  std::string plan;
  std::string service;
  std::vector<std::string> endpoints;
};

absl::Status RowError(std::string_view file, std::string_view row, std::string_view what, std::string_view remedy) {
  return MakeError(ErrorKind::kInvalidValue, fmt::format("{} {}: {}", file, row, what), remedy);
}

/** Reads `hedge_limit`, hedges per 100 calls, as a share of calls; not set if the key is missing. */
std::optional<double> ReadHedgeLimit(TomlReader& reader) {
  constexpr double kMissing = -1;
  const double percent = reader.NumberOr("hedge_limit", 0.0, 100.0, kMissing);
  return percent == kMissing ? std::nullopt : std::optional(percent / 100);
}

absl::StatusOr<Plan> ReadPlan(const toml::table& table, std::string context) {
  TomlReader reader(table, std::move(context));
  Plan plan;
  plan.name = reader.String("name");
  plan.customer = reader.String("customer");
  plan.method = reader.StringOr("method", "*");
  plan.path_prefix = reader.String("path");
  plan.repeat = reader.ChoiceOr("repeat", {"safe", "never"}, 1) == 0 ? Repeat::kSafe : Repeat::kNever;
  plan.work = reader.ChoiceOr("work", {"short", "long"}, 0) == 0 ? Work::kShort : Work::kLong;
  plan.deadline = reader.DurationOr("deadline", kMinDuration, kMaxDeadline, kDefaultDeadline);
  plan.priority = static_cast<uint8_t>(reader.IntegerOr("priority", 0, 9, 5));
  plan.share = static_cast<uint32_t>(reader.IntegerOr("share", 1, 1'000, 1));
  plan.objective_latency = reader.DurationOr("objective_latency", kMinDuration, kMaxDeadline, kDefaultObjectiveLatency);
  plan.objective_success = reader.NumberOr("objective_success", 0.0, 99.9999, 99.0);
  plan.hedge_limit = ReadHedgeLimit(reader);
  if (absl::Status status = reader.Finish(); !status.ok())
    return status;
  return plan;
}

absl::StatusOr<Service> ReadService(const toml::table& table, std::string context) {
  TomlReader reader(table, std::move(context));
  Service service;
  service.name = reader.String("name");
  service.probe_budget = reader.NumberOr("probe_budget", 0.0, kMaxProbesPerSecond, 0.0);
  if (service.probe_budget > 0.0 && service.probe_budget < kMinProbesPerSecond) {
    return RowError(kUpstreamsFile, fmt::format("service '{}'", service.name),
                    fmt::format("probe_budget is below {}", kMinProbesPerSecond), "write 0 for no probes, or more");
  }
  service.probe_path = reader.StringOr("probe_path", "/probe");
  service.long_share = reader.NumberOr("long_share", 1.0, 100.0, 50.0);
  service.hedge_limit = ReadHedgeLimit(reader);
  if (absl::Status status = reader.Finish(); !status.ok())
    return status;
  return service;
}

absl::StatusOr<Endpoint> ReadEndpoint(const toml::table& table, std::string context) {
  TomlReader reader(table, std::move(context));
  Endpoint endpoint;
  endpoint.name = reader.String("name");
  endpoint.service = reader.String("service");
  endpoint.address = reader.String("address");
  endpoint.failure_domain = reader.StringOr("failure_domain", "");
  endpoint.slots = static_cast<uint32_t>(reader.Integer("slots", 1, 10'000));
  endpoint.connections = static_cast<uint32_t>(reader.IntegerOr("connections", 1, 100'000, 260));
  if (absl::Status status = reader.Finish(); !status.ok())
    return status;
  return endpoint;
}

absl::StatusOr<Permit> ReadPermit(const toml::table& table, std::string context) {
  TomlReader reader(table, std::move(context));
  Permit permit;
  permit.plan = reader.String("plan");
  permit.service = reader.String("service");
  permit.endpoints = reader.StringListOrEmpty("endpoints");
  if (absl::Status status = reader.Finish(); !status.ok())
    return status;
  return permit;
}

/** Reads all rows of one array of tables. */
template <typename Row>
absl::Status ReadRows(const toml::table& root,
                      std::string_view file,
                      std::string_view key,
                      absl::StatusOr<Row> (*read)(const toml::table&, std::string),
                      std::vector<Row>& rows) {
  const toml::node* node = root.get(key);
  if (node == nullptr)
    return absl::OkStatus();
  const toml::array* array = node->as_array();
  if (array == nullptr || !array->is_array_of_tables())
    return RowError(file, key, "is not an array of tables", fmt::format("write each row under [[{}]]", key));
  size_t number = 0;
  for (const toml::node& item : *array) {
    ++number;
    absl::StatusOr<Row> row = read(*item.as_table(), fmt::format("{} {} {}", file, key, number));
    if (!row.ok())
      return row.status();
    rows.push_back(*std::move(row));
  }
  return absl::OkStatus();
}

absl::Status CheckTableNames(const toml::table& root, std::string_view file, const std::set<std::string_view>& known) {
  for (const auto& [key, node] : root) {
    if (known.contains(key.str()))
      continue;
    return MakeError(ErrorKind::kUnknownKey,
                     fmt::format("{} line {}: unknown table '{}'", file, key.source().begin.line, key.str()),
                     "remove it or check its spelling");
  }
  return absl::OkStatus();
}

template <typename Row>
absl::Status CheckUnique(const std::vector<Row>& rows, std::string_view file, std::string_view key) {
  std::set<std::string_view> seen;
  for (const Row& row : rows) {
    if (!seen.insert(row.name).second)
      return RowError(file, fmt::format("{} '{}'", key, row.name), "is defined twice", "rename or remove one of them");
  }
  return absl::OkStatus();
}

absl::Status CheckAddress(const Endpoint& endpoint) {
  const std::string row = fmt::format("endpoint '{}'", endpoint.name);
  const size_t colon = endpoint.address.rfind(':');
  boost::system::error_code error;
  int port = 0;
  bool is_number = false;
  if (colon != std::string::npos) {
    boost::asio::ip::make_address(endpoint.address.substr(0, colon), error);
    is_number = ParseNumber(std::string_view(endpoint.address).substr(colon + 1), port);
  }
  if (!is_number || error || port < 1 || port > 65'535)
    return RowError(kUpstreamsFile, row, fmt::format("address '{}' is not IP:port", endpoint.address),
                    "write it like \"10.0.0.7:8080\"");
  return absl::OkStatus();
}

absl::Status CheckEndpoints(const Lists& lists) {
  std::set<std::string_view> services;
  for (const Service& service : lists.services)
    services.insert(service.name);
  std::map<std::string_view, std::string_view> addresses;
  for (const Endpoint& endpoint : lists.endpoints) {
    const std::string row = fmt::format("endpoint '{}'", endpoint.name);
    if (!services.contains(endpoint.service))
      return RowError(kUpstreamsFile, row, fmt::format("service '{}' is not listed", endpoint.service),
                      "add the [[service]] row or correct the name");
    if (absl::Status status = CheckAddress(endpoint); !status.ok())
      return status;
    const auto [other, inserted] = addresses.emplace(endpoint.address, endpoint.name);
    if (!inserted)
      return RowError(kUpstreamsFile, row, fmt::format("address is that of endpoint '{}'", other->second),
                      "give each endpoint its own address");
  }
  return absl::OkStatus();
}

absl::Status CheckPermit(const Lists& lists, const Permit& permit, std::string_view row) {
  const bool known = std::any_of(lists.services.begin(), lists.services.end(),
                                 [&](const Service& service) { return service.name == permit.service; });
  if (!known)
    return RowError(kUpstreamsFile, row, fmt::format("service '{}' is not listed", permit.service),
                    "add the [[service]] row or correct the name");
  for (const std::string& name : permit.endpoints) {
    const bool found = std::any_of(lists.endpoints.begin(), lists.endpoints.end(), [&](const Endpoint& endpoint) {
      return endpoint.name == name && endpoint.service == permit.service;
    });
    if (!found)
      return RowError(kUpstreamsFile, row, fmt::format("endpoint '{}' does not belong to the service", name),
                      "correct the name or remove it");
  }
  return absl::OkStatus();
}

absl::Status ApplyPermits(const std::vector<Permit>& permits, Lists& lists) {
  for (const Permit& permit : permits) {
    const std::string row = fmt::format("permit for plan '{}'", permit.plan);
    auto plan = std::find_if(lists.plans.begin(), lists.plans.end(),
                             [&](const Plan& candidate) { return candidate.name == permit.plan; });
    if (plan == lists.plans.end())
      return RowError(kUpstreamsFile, row, "plans.toml has no such plan", "add the plan or remove the permit");
    if (!plan->service.empty())
      return RowError(kUpstreamsFile, row, "is defined twice", "keep one [[permit]] row for each plan");
    if (absl::Status status = CheckPermit(lists, permit, row); !status.ok())
      return status;
    plan->service = permit.service;
    plan->endpoints = permit.endpoints;
  }
  for (const Plan& plan : lists.plans) {
    if (plan.service.empty())
      return RowError(kPlansFile, fmt::format("plan '{}'", plan.name),
                      "has no [[permit]] row that assigns a service to it",
                      "add a [[permit]] row for it in upstreams.toml");
  }
  return absl::OkStatus();
}

absl::Status CheckPlans(const std::vector<Plan>& plans) {
  std::set<std::pair<std::string_view, std::string_view>> routes;
  for (const Plan& plan : plans) {
    const std::string row = fmt::format("plan '{}'", plan.name);
    if (plan.path_prefix.front() != '/')
      return RowError(kPlansFile, row, "path does not begin with '/'", "write it like \"/katalog\"");
    if (plan.path_prefix.starts_with("/sassafras"))
      return RowError(kPlansFile, row, "path begins with '/sassafras', which is reserved for the entry instances",
                      "use another path");
    if (!routes.emplace(plan.method, plan.path_prefix).second)
      return RowError(kPlansFile, row, "another plan has the same method and path", "change one of them");
    if (plan.objective_latency > plan.deadline)
      return RowError(kPlansFile, row, "objective_latency is above deadline", "lower it or raise the deadline");
  }
  return absl::OkStatus();
}

absl::Status ReadUpstreams(const toml::table& root, Lists& lists, std::vector<Permit>& permits) {
  absl::Status status = CheckTableNames(root, kUpstreamsFile, {"service", "endpoint", "permit"});
  if (status.ok())
    status = ReadRows<Service>(root, kUpstreamsFile, "service", &ReadService, lists.services);
  if (status.ok())
    status = ReadRows<Endpoint>(root, kUpstreamsFile, "endpoint", &ReadEndpoint, lists.endpoints);
  if (status.ok())
    status = ReadRows<Permit>(root, kUpstreamsFile, "permit", &ReadPermit, permits);
  if (status.ok())
    status = CheckUnique(lists.services, kUpstreamsFile, "service");
  if (status.ok())
    status = CheckUnique(lists.endpoints, kUpstreamsFile, "endpoint");
  if (status.ok())
    status = CheckEndpoints(lists);
  return status;
}

absl::Status ReadPlans(const toml::table& root, Lists& lists) {
  absl::Status status = CheckTableNames(root, kPlansFile, {"plan"});
  if (status.ok())
    status = ReadRows<Plan>(root, kPlansFile, "plan", &ReadPlan, lists.plans);
  if (status.ok())
    status = CheckUnique(lists.plans, kPlansFile, "plan");
  if (status.ok())
    status = CheckPlans(lists.plans);
  return status;
}

}  // namespace

absl::StatusOr<Lists> ParseLists(std::string_view plans_toml, std::string_view upstreams_toml) {
  absl::StatusOr<toml::table> plans = ParseToml(plans_toml, kPlansFile);
  if (!plans.ok())
    return plans.status();
  absl::StatusOr<toml::table> upstreams = ParseToml(upstreams_toml, kUpstreamsFile);
  if (!upstreams.ok())
    return upstreams.status();
  Lists lists;
  std::vector<Permit> permits;
  absl::Status status = ReadPlans(*plans, lists);
  if (status.ok())
    status = ReadUpstreams(*upstreams, lists, permits);
  if (status.ok())
    status = ApplyPermits(permits, lists);
  if (!status.ok())
    return status;
  return lists;
}

}  // namespace sassafras
