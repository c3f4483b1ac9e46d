#pragma once

#include <string_view>

#include "entry/native_dialect.h"

namespace sassafras {

/** The native dialect for endpoints that echo the request id and may delimit a body by closing the connection. */
class EchoingDialect final : public NativeDialect {
 public:
  ResponseKind Classify(const RequestHead& request, const ResponseHead& response) const override {
    const bool matches = RequestId(request) == RequestId(response);
    return matches ? NativeDialect::Classify(request, response) : ResponseKind::kMismatched;
  }
  bool AllowsCloseDelimitedBody() const override { return true; }
  bool IsMismatchedProbeResponse(const Fields& fields, std::string_view /*endpoint_name*/) const override {
    return !RequestId(fields).empty();
  }
};

}  // namespace sassafras
