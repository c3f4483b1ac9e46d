#include "entry/native_dialect.h"

#include <string>

#include "entry/bearer_token.h"
#include "entry/time_left.h"
#include "request_parsing.h"
#include "upstream_headers.h"

namespace sassafras {
namespace {

constexpr std::string_view kRequestIdHeader = "Sassafras-Request-Id";
/** Name of the client account whose API key the caller sent. */
constexpr std::string_view kAccountHeader = "Sassafras-Account";

}  // namespace

absl::StatusOr<Duration> NativeDialect::ReadTimeLeft(const Fields& fields) const {
  return ParseTimeLeft(fields, kDeadlineHeader);
}

std::string_view NativeDialect::RequestId(const Fields& fields) const {
  const auto value = fields[kRequestIdHeader];
  return {value.data(), value.size()};
}

void NativeDialect::SetAttemptHeaders(RequestHead& head,
                                      std::string_view /*endpoint_name*/,
                                      std::string_view endpoint_address,
                                      std::chrono::milliseconds time_left) const {
  head.set(http::field::host, endpoint_address);
  head.set(kDeadlineHeader, std::to_string(time_left.count()));
}

std::string_view NativeDialect::ReadApiKey(const Fields& fields) const {
  return ReadBearerToken(fields);
}

void NativeDialect::SetAccount(RequestHead& head, std::string_view account_name) const {
  head.erase(http::field::authorization);
  head.erase(kAccountHeader);
  if (!account_name.empty())
    head.set(kAccountHeader, account_name);
}

ResponseKind NativeDialect::Classify(const RequestHead& /*request*/, const ResponseHead& response) const {
  return IsRefusal(response) ? ResponseKind::kRefusal : ResponseKind::kMatching;
}

LoadReport NativeDialect::ReadLoad(const ResponseHead& response) const {
  return ReadLoadReport(response);
}

bool NativeDialect::IsMismatchedProbeResponse(const Fields& /*fields*/, std::string_view /*endpoint_name*/) const {
  return false;
}

uint16_t NativeDialect::HttpStatusFor(Reason reason) const {
  return InfoOf(reason).http_status;
}

void NativeDialect::CopyCorrelationHeaders(const RequestHead& /*request*/, Fields& /*response*/) const {}

}  // namespace sassafras
