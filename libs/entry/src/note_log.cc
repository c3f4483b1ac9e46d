#include "note_log.h"

#include <array>
#include <string>
#include <string_view>

#include "base/log.h"
#include "core/note.h"

namespace sassafras {
namespace {

/** Log level, event name and field keys for one kind of note. */
struct Row {
  Note::Kind kind;
  LogLevel level;
  std::string_view event;
  std::string_view subject;
  std::string_view version;
};

constexpr std::array<Row, 9> kRows = {{
    {Note::Kind::kEndpointServing, LogLevel::kInfo, "endpoint_serving", "endpoint", "revision"},
    {Note::Kind::kEndpointLeaving, LogLevel::kInfo, "endpoint_leaving", "endpoint", "revision"},
    {Note::Kind::kEndpointGone, LogLevel::kInfo, "endpoint_gone", "endpoint", "revision"},
    {Note::Kind::kEndpointEjected, LogLevel::kWarning, "endpoint_ejected", "endpoint", "incarnation"},
    {Note::Kind::kMembersSilent, LogLevel::kWarning, "members_silent", "first", "count"},
    {Note::Kind::kMembersBack, LogLevel::kInfo, "members_back", "first", "count"},
    {Note::Kind::kRequestQuarantined, LogLevel::kWarning, "request_quarantined", "fingerprint", "version"},
    {Note::Kind::kWatching, LogLevel::kInfo, "watching", "instance", "members"},
    {Note::Kind::kNotWatching, LogLevel::kInfo, "not_watching", "instance", "members"},
}};

}  // namespace

void WriteNoteLine(const Note& note) {
  const Row& row = kRows[static_cast<size_t>(note.kind)];
  const std::string version = std::to_string(note.version);
  if (note.lifetime.count() == 0) {
    Log(row.level, row.event, {{row.subject, note.subject}, {row.version, version}, {"source", note.source}});
    return;
  }
  Log(row.level, row.event,
      {{row.subject, note.subject},
       {row.version, version},
       {"source", note.source},
       {"for_ms", std::to_string(note.lifetime.count())}});
}

}  // namespace sassafras
