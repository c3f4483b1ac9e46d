#include "core/outcome.h"

#include <array>

namespace sassafras {
namespace {

constexpr std::array<ReasonInfo, kReasonCount> kReasons = {{
    {"no_plan", Outcome::kNotRun, 404, "no plan covers this method and path; ask the operators to add one"},
    {"not_ready", Outcome::kNotRun, 503, "the instance has no lists yet; use another address"},
    {"lists_not_current", Outcome::kNotRun, 503,
     "no plan here covers the request, but the lists may be outdated; send again after Retry-After"},
    {"overloaded", Outcome::kNotRun, 503, "all endpoints are busy; send again after Retry-After"},
    {"deadline_before_start", Outcome::kNotRun, 504, "no endpoint was free in time; send again with a later deadline"},
    {"no_endpoint", Outcome::kNotRun, 503, "no endpoint of the service takes work; send again later"},
    {"refused_by_upstreams", Outcome::kNotRun, 503, "the endpoints refused; send again after Retry-After"},
    {"connect_failed", Outcome::kNotRun, 503, "no endpoint could be reached; send again after Retry-After"},
    {"quarantined", Outcome::kNotRun, 422,
     "this request has crashed several endpoints; change it or tell the operators"},
    {"records_full", Outcome::kNotRun, 503, "too many keyed requests are remembered here; use another address"},
    {"redirect_to_owner", Outcome::kNotRun, 307, "send the request to the owner in Location"},
    {"owner_missing", Outcome::kNotRun, 428,
     "a request with Idempotency-Key needs Sassafras-Owner from an address answer"},
    {"bad_owner", Outcome::kNotRun, 400, "copy Sassafras-Owner unchanged from an address answer"},
    {"stopping", Outcome::kNotRun, 503, "the instance is stopping; use another address"},
    {"bad_request", Outcome::kNotRun, 400, "mend the request as the message says"},
    {"connection_broken", Outcome::kUnknown, 502, "the endpoint may have run it; check before sending again"},
    {"deadline_while_running", Outcome::kUnknown, 504, "the endpoint may still run it; check before sending again"},
    {"owner_gone", Outcome::kUnknown, 409,
     "the instance that owned the key is gone; check whether it ran, then use a new key"},
    {"record_expired", Outcome::kUnknown, 409,
     "the key is older than the records; check whether it ran, then use a new key"},
    {"earlier_run_unknown", Outcome::kUnknown, 409,
     "an earlier send may have run; it was not run again; check before using a new key"},
    {"answer_not_kept", Outcome::kUnknown, 409,
     "an earlier send ran, its answer was too large to keep; ask the service"},
    {"bad_answer", Outcome::kUnknown, 502, "the endpoint ran it and answered malformed; check before sending again"},
    {"unauthorized", Outcome::kNotRun, 401, "send the API key of an account as Authorization: Bearer KEY"},
    {"over_quota", Outcome::kNotRun, 429, "the account has used up its quota; send again after Retry-After"},
    {"keys_not_confirmed", Outcome::kNotRun, 503,
     "this instance cannot confirm API keys at present; use another address, or send again after Retry-After"},
}};

}  // namespace

const ReasonInfo& InfoOf(Reason reason) {
  return kReasons[static_cast<size_t>(reason)];
}

std::string_view OutcomeName(Outcome outcome) {
  return outcome == Outcome::kNotRun ? "not_run" : "unknown";
}

}  // namespace sassafras
