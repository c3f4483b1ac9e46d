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

double ToNumber(const std::string& text) {
  return std::strtod(text.c_str(), nullptr);
}

const std::map<std::string, Setter>& Setters() {
  static const std::map<std::string, Setter> kSetters = {
      {"name", [](Flow& flow, const std::string& text) { flow.name = text; }},
      {"method", [](Flow& flow, const std::string& text) { flow.method = text; }},
      {"path", [](Flow& flow, const std::string& text) { flow.path = text; }},
      {"fault", [](Flow& flow, const std::string& text) { flow.fault = text; }},
      {"rate", [](Flow& flow, const std::string& text) { flow.rate = ToNumber(text); }},
      {"stragglers", [](Flow& flow, const std::string& text) { flow.stragglers = ToNumber(text); }},
      {"straggler-factor", [](Flow& flow, const std::string& text) { flow.straggler_factor = ToNumber(text); }},
      {"resend", [](Flow& flow, const std::string& text) { flow.resend = ToNumber(text); }},
      {"keyed", [](Flow& flow, const std::string& text) { flow.keyed = text == "1"; }},
      {"swings", [](Flow& flow, const std::string& text) { flow.swings = text == "1"; }},
      {"fixed-work", [](Flow& flow, const std::string& text) { flow.fixed_work = text == "1"; }},
      {"answer-bytes",
       [](Flow& flow, const std::string& text) { flow.answer_bytes = static_cast<int64_t>(ToNumber(text)); }},
      {"request-bytes",
       [](Flow& flow, const std::string& text) { flow.request_bytes = static_cast<int64_t>(ToNumber(text)); }},
      {"work-us",
       [](Flow& flow, const std::string& text) {
         flow.work = std::chrono::microseconds(static_cast<int64_t>(ToNumber(text)));
       }},
      {"deadline-ms",
       [](Flow& flow, const std::string& text) {
         flow.deadline = std::chrono::milliseconds(static_cast<int64_t>(ToNumber(text)));
       }},
  };
  return kSetters;
}

}  // namespace

absl::StatusOr<Flow> ParseFlow(std::string_view text) {
  Flow flow;
  for (const auto part : absl::StrSplit(absl::string_view(text.data(), text.size()), ',')) {
    const std::pair<std::string, std::string> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
    const auto setter = Setters().find(pair.first);
    if (setter == Setters().end()) {
      return MakeError(ErrorKind::kUnknownKey, fmt::format("flow: unknown key '{}'", pair.first),
                       "see 'caller --help' for the keys");
    }
    setter->second(flow, pair.second);
  }
  if (flow.name.empty() || flow.path.empty() || flow.rate <= 0)
    return MakeError(ErrorKind::kInvalidValue, "flow: name, path and a rate above 0 are required", "add them");
  return flow;
}

}  // namespace sassafras
