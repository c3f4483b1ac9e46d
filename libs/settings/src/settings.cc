#include "settings/settings.h"

#include <array>

#include "base/error.h"
#include "base/toml_reader.h"

namespace sassafras {
namespace {

using std::chrono::microseconds;
using namespace std::chrono_literals;

constexpr std::array<std::string_view, 6> kSelectionRules = {"random",       "round_robin", "least_in_flight",
                                                             "power_of_two", "peak_ewma",   "hot_cold"};
constexpr size_t kDefaultSelectionIndex = 5;
/** Upper limits of what a platform's settings state; a process must start with any such value. */
constexpr microseconds kMaxPlatformTime = 24h * 365;
constexpr double kMaxRetryRatio = 1e6;
constexpr double kMaxRetrySlack = 1e9;
constexpr microseconds kDefaultAddressTtl = 5s;
constexpr microseconds kDefaultConnectTimeout = 250ms;
constexpr microseconds kDefaultStopLimit = 60s;
constexpr microseconds kDefaultGossipPeriod = 250ms;
constexpr double kDefaultRetryRatio = 0.2;
constexpr double kDefaultRetrySlack = 480;
constexpr microseconds kDefaultEndpointLeaveLimit = 2s;
constexpr microseconds kDefaultListsApplyLimit = 2s;
constexpr double kDefaultHedgeLimit = 10;
constexpr int64_t kDefaultQueueLimit = 512;
constexpr int64_t kDefaultCallerConnections = 4'096;
constexpr int64_t kDefaultFleetLimit = 24;
constexpr int64_t kDefaultRecordLimit = 65'536;

}  // namespace

absl::StatusOr<Settings> ParseSettings(std::string_view text, std::string_view file_name) {
  absl::StatusOr<toml::table> table = ParseToml(text, file_name);
  if (!table.ok())
    return table.status();
  TomlReader reader(*table, std::string(file_name));
  Settings settings;
  settings.instance = reader.String("instance");
  settings.failure_domain = reader.String("failure_domain");
  settings.listen = reader.String("listen");
  settings.peer_listen = reader.String("peer_listen");
  settings.platform = reader.StringListOrEmpty("platform");
  settings.store = reader.ChoiceOr("store", {"etcd", "platform"}, 0) == 0 ? StoreKind::kEtcd : StoreKind::kPlatform;
  settings.region = reader.StringOr("region", "");
  settings.page_listen = reader.StringListOrEmpty("page_listen");
  settings.retry_ratio = reader.NumberOr("retry_ratio", 0, kMaxRetryRatio, kDefaultRetryRatio);
  settings.retry_slack = reader.NumberOr("retry_slack", 0, kMaxRetrySlack, kDefaultRetrySlack);
  settings.ask_first = reader.ChoiceOr("ask_first", {"on", "off"}, 1) == 0;
  settings.gossip_period = reader.DurationOr("gossip_period", 10ms, 10s, kDefaultGossipPeriod);
  settings.seed_peers = reader.StringListOrEmpty("seed_peers");
  settings.selection = kSelectionRules[reader.ChoiceOr("selection", kSelectionRules, kDefaultSelectionIndex)];
  settings.address_ttl = reader.DurationOr("address_ttl", 100ms, 10min, kDefaultAddressTtl);
  settings.connect_timeout = reader.DurationOr("connect_timeout", 1ms, 10s, kDefaultConnectTimeout);
  settings.kill_after = reader.DurationOr("kill_after", 0s, kMaxPlatformTime, 0s);
  settings.stop_limit = reader.DurationOr("stop_limit", 1s, 60min, kDefaultStopLimit);
  settings.queue_limit = static_cast<uint32_t>(reader.IntegerOr("queue_limit", 0, 1'000'000, kDefaultQueueLimit));
  settings.caller_connections =
      static_cast<uint32_t>(reader.IntegerOr("caller_connections", 1, 1'000'000, kDefaultCallerConnections));
  settings.fleet_limit = static_cast<uint32_t>(reader.IntegerOr("fleet_limit", 1, 10'000, kDefaultFleetLimit));
  settings.record_limit = static_cast<uint32_t>(reader.IntegerOr("record_limit", 1, 10'000'000, kDefaultRecordLimit));
  settings.probing = reader.ChoiceOr("probing", {"on", "off"}, 0) == 0;
  settings.hedging = reader.ChoiceOr("hedging", {"on", "off"}, 0) == 0;
  settings.late_binding = reader.ChoiceOr("late_binding", {"on", "off"}, 0) == 0;
  settings.key_revocation_limit = reader.DurationOr("key_revocation_limit", 0s, kMaxPlatformTime, 0s);
  settings.endpoint_leave_limit =
      reader.DurationOr("endpoint_leave_limit", 0s, kMaxPlatformTime, kDefaultEndpointLeaveLimit);
  settings.lists_apply_limit = reader.DurationOr("lists_apply_limit", 0s, kMaxPlatformTime, kDefaultListsApplyLimit);
  settings.hedge_limit = reader.NumberOr("hedge_limit", 0, 100, kDefaultHedgeLimit);
  if (absl::Status status = reader.Finish(); !status.ok())
    return status;
  if (settings.store == StoreKind::kPlatform && settings.platform.size() != 1) {
    return MakeError(ErrorKind::kInvalidValue, std::string(file_name) + ": store = \"platform\" needs one address",
                     "set platform = [\"IP:PORT\"]");
  }
  return settings;
}

absl::StatusOr<Settings> LoadSettings(const std::string& path) {
  absl::StatusOr<std::string> text = ReadFile(path);
  if (!text.ok())
    return text.status();
  return ParseSettings(*text, path);
}

}  // namespace sassafras
