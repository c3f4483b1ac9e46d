#include "entry/native_dialect.h"

#include <string>

#include "request_facts.h"
#include "upstream_headers.h"

namespace sassafras {
namespace {

constexpr std::string_view kRequestIdHeader = "Sassafras-Request-Id";

}  // namespace

absl::StatusOr<Duration> NativeDialect::ReadDeadline(const Fields& fields) const {
  return sassafras::ReadDeadline(fields);
}

std::string_view NativeDialect::RequestId(const Fields& fields) const {
  const auto value = fields[kRequestIdHeader];
  return {value.data(), value.size()};
}

void NativeDialect::PrepareAttempt(RequestHead& head,
                                   std::string_view /*endpoint_name*/,
                                   std::string_view endpoint_address,
                                   std::chrono::milliseconds left) const {
  head.set(http::field::host, endpoint_address);
  head.set(kDeadlineHeader, std::to_string(left.count()));
}

AnswerKind NativeDialect::Classify(const RequestHead& /*request*/, const AnswerHead& answer) const {
  return IsRefusal(answer) ? AnswerKind::kRefusal : AnswerKind::kOwn;
}

LoadReport NativeDialect::ReadLoad(const Fields& fields) const {
  return ReadLoadReport(fields);
}

bool NativeDialect::IsFromOther(const Fields& /*fields*/, std::string_view /*endpoint_name*/) const {
  return false;
}

uint16_t NativeDialect::StatusOf(Reason reason) const {
  return InfoOf(reason).http_status;
}

void NativeDialect::MarkAnswer(const RequestHead& /*request*/, Fields& /*answer*/) const {}

}  // namespace sassafras
