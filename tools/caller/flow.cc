#include "flow.h"

#include <cstdlib>
#include <functional>
#include <map>

#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include "base/error.h"

namespace sassafras {
namespace {

using Setter = std::function<void(Flow&, const std::string&)>;

double ParseNumber(const std::string& text) {
  return std::strtod(text.c_str(), nullptr);
}

const std::map<std::string, Setter>& SettersByKey() {
  static const std::map<std::string, Setter> kSettersByKey = {
      {"name", [](Flow& flow, const std::string& text) { flow.name = text; }},
      {"method", [](Flow& flow, const std::string& text) { flow.method = text; }},
      {"path", [](Flow& flow, const std::string& text) { flow.path = text; }},
      {"fault", [](Flow& flow, const std::string& text) { flow.answer_fault = text; }},
      {"rate", [](Flow& flow, const std::string& text) { flow.calls_per_second = ParseNumber(text); }},
      {"stragglers", [](Flow& flow, const std::string& text) { flow.straggler_share = ParseNumber(text); }},
      {"straggler-factor", [](Flow& flow, const std::string& text) { flow.straggler_factor = ParseNumber(text); }},
      {"resend", [](Flow& flow, const std::string& text) { flow.resend_share = ParseNumber(text); }},
      {"keyed", [](Flow& flow, const std::string& text) { flow.has_idempotency_key = text == "1"; }},
      {"swings", [](Flow& flow, const std::string& text) { flow.has_peak = text == "1"; }},
      {"fixed-work", [](Flow& flow, const std::string& text) { flow.fixed_work = text == "1"; }},
      {"answer-bytes",
       [](Flow& flow, const std::string& text) { flow.answer_bytes = static_cast<int64_t>(ParseNumber(text)); }},
      {"request-bytes",
       [](Flow& flow, const std::string& text) { flow.request_bytes = static_cast<int64_t>(ParseNumber(text)); }},
      {"work-us",
       [](Flow& flow, const std::string& text) {
         flow.mean_work = std::chrono::microseconds(static_cast<int64_t>(ParseNumber(text)));
       }},
      {"deadline-ms",
       [](Flow& flow, const std::string& text) {
         flow.deadline = std::chrono::milliseconds(static_cast<int64_t>(ParseNumber(text)));
       }},
  };
  return kSettersByKey;
}

}  // namespace

absl::StatusOr<Flow> ParseFlow(std::string_view text) {
  Flow flow;
  for (const auto field : absl::StrSplit(absl::string_view(text.data(), text.size()), ',')) {
    const std::pair<std::string, std::string> key_and_value = absl::StrSplit(field, absl::MaxSplits('=', 1));
    const auto setter = SettersByKey().find(key_and_value.first);
    if (setter == SettersByKey().end()) {
      return MakeError(ErrorKind::kUnknownKey, fmt::format("flow: unknown key '{}'", key_and_value.first),
                       "see 'caller --help' for the keys");
    }
    setter->second(flow, key_and_value.second);
  }
  if (flow.name.empty() || flow.path.empty() || flow.calls_per_second <= 0)
    return MakeError(ErrorKind::kInvalidValue, "flow: name, path and a rate above 0 are required", "set these keys");
  return flow;
}

}  // namespace sassafras
