#include "log_record_writer.h"

#include <array>
#include <string>
#include <string_view>

#include "base/log.h"
#include "core/log_record.h"

namespace sassafras {
namespace {

/** Log level, event name and field keys for one kind of log record. */
struct Row {
  LogRecord::Kind kind;
  LogLevel level;
  std::string_view event;
  std::string_view subject;
  std::string_view version;
};

/** Indexed by LogRecord::Kind. */
constexpr auto kRows = std::to_array<Row>({
    {LogRecord::Kind::kEndpointServing, LogLevel::kInfo, "endpoint_serving", "endpoint", "revision"},
    {LogRecord::Kind::kEndpointLeaving, LogLevel::kInfo, "endpoint_leaving", "endpoint", "revision"},
    {LogRecord::Kind::kEndpointGone, LogLevel::kInfo, "endpoint_gone", "endpoint", "revision"},
    {LogRecord::Kind::kEndpointEjected, LogLevel::kWarning, "endpoint_ejected", "endpoint", "incarnation"},
    {LogRecord::Kind::kEndpointHeldOff, LogLevel::kInfo, "endpoint_held_off", "endpoint", "incarnation"},
    {LogRecord::Kind::kMembersSilent, LogLevel::kWarning, "members_silent", "first", "count"},
    {LogRecord::Kind::kMembersBack, LogLevel::kInfo, "members_back", "first", "count"},
    {LogRecord::Kind::kRequestQuarantined, LogLevel::kWarning, "request_quarantined", "fingerprint", "version"},
    {LogRecord::Kind::kWatching, LogLevel::kInfo, "watching", "instance", "members"},
    {LogRecord::Kind::kNotWatching, LogLevel::kInfo, "not_watching", "instance", "members"},
    {LogRecord::Kind::kAccountOverQuota, LogLevel::kInfo, "account_over_quota", "account", "rejected"},
    {LogRecord::Kind::kAccountWithinQuota, LogLevel::kInfo, "account_within_quota", "account", "rejected"},
    {LogRecord::Kind::kKeysNotConfirmed, LogLevel::kWarning, "keys_not_confirmed", "instance", "age_ms"},
    {LogRecord::Kind::kKeysConfirmed, LogLevel::kInfo, "keys_confirmed", "instance", "age_ms"},
    {LogRecord::Kind::kDomainEvacuated, LogLevel::kWarning, "domain_evacuated", "failure_domain", "as_of"},
    {LogRecord::Kind::kEvacuationEnded, LogLevel::kInfo, "evacuation_ended", "failure_domain", "as_of"},
    {LogRecord::Kind::kHedgesRefused, LogLevel::kInfo, "hedges_refused", "plan", "count"},
    {LogRecord::Kind::kStaleRead, LogLevel::kInfo, "stale_read", "what", "age_ms"},
});

}  // namespace

void WriteLogRecordLine(const LogRecord& record) {
  const Row& row = kRows[static_cast<size_t>(record.kind)];
  const std::string version = std::to_string(record.version);
  const bool is_evacuation =
      record.kind == LogRecord::Kind::kDomainEvacuated || record.kind == LogRecord::Kind::kEvacuationEnded;
  if (is_evacuation) {
    Log(row.level, row.event,
        {{row.subject, record.subject},
         {row.version, version},
         {"source", record.source},
         {"age_ms", std::to_string(record.age.count())}});
    return;
  }
  if (record.lifetime.count() == 0) {
    Log(row.level, row.event, {{row.subject, record.subject}, {row.version, version}, {"source", record.source}});
    return;
  }
  Log(row.level, row.event,
      {{row.subject, record.subject},
       {row.version, version},
       {"source", record.source},
       {"for_ms", std::to_string(record.lifetime.count())}});
}

}  // namespace sassafras
